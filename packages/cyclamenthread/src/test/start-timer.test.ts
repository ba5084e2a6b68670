import test from 'ava'
import { StartPhase, StartTimer } from 'cyclamenthread'

// Guards against starts whose log doesn't tell a phase that computes from one that waits.
test('the phases of a start tell computing from waiting', async (t) => {
  const timer = new StartTimer()
  timer.endPhase(StartPhase.Program)
  await new Promise((resolve) => setTimeout(resolve, 200))
  timer.endPhase(StartPhase.Secret)
  const usedBefore = process.cpuUsage()
  while (process.cpuUsage(usedBefore).user < 100_000);
  timer.endPhase(StartPhase.Deployment)
  const { secretMs = 0, secretProcessorMs = 0, deploymentProcessorMs = 0 } = timer.fields()
  t.true(secretMs >= 195)
  t.true(secretProcessorMs < secretMs)
  t.true(deploymentProcessorMs >= 95)
})
