/** Resources that a host has used since it started, as its metrics report them. */
export interface HostMetrics {
  readonly cpuSeconds: number
  readonly residentBytes: number
  readonly controlBytesSent: number
  readonly controlBytesReceived: number
  readonly storeCalls: number
}

/**
 * Reads the resource metrics of a host.
 *
 * @param url base URL of the host
 * @example
 * (await readHostMetrics(url)).cpuSeconds
 */
export async function readHostMetrics (url: string): Promise<HostMetrics> {
  const page = await (await fetch(`${url}/metrics`)).text()
  return {
    cpuSeconds: sumMetric(page, 'process_cpu_seconds_total'),
    residentBytes: sumMetric(page, 'process_resident_memory_bytes'),
    controlBytesSent: sumMetric(page, 'cyclamenthread_control_bytes', 'direction="sent"'),
    controlBytesReceived: sumMetric(page, 'cyclamenthread_control_bytes', 'direction="received"'),
    storeCalls: sumMetric(page, 'cyclamenthread_store_calls')
  }
}

/** Sums the series of a metric; with `label`, only those whose line contains that text. */
function sumMetric (page: string, metric: string, label = ''): number {
  let sum = 0
  for (const line of page.split('\n')) {
    const name = line.split(/[{ ]/, 1)[0]
    if (name === metric && line.includes(label)) sum += Number(line.slice(line.lastIndexOf(' ') + 1))
  }
  return sum
}
