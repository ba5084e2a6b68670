// Tests that load a process up to its limits: they run one at a time, apart from all other tests.
export default {
  files: ['platform/src/isolated/**/*.test.ts'],
  workerThreads: false,
  concurrency: 1,
  serial: true,
  timeout: '60s',
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx', '--conditions=source'],
  environmentVariables: { UV_USE_IO_URING: '0' }
}
