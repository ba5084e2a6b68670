import test from 'ava'
import { EndpointLife, EndpointSign, judgeEndpointLife } from '@cyclamenthread/state'

const SURE = { sign: EndpointSign.None, isDoubtful: false }
const DOUBTFUL = { sign: EndpointSign.None, isDoubtful: true }
const ALIVE = { sign: EndpointSign.Alive, isDoubtful: false }
const REPLACED = { sign: EndpointSign.Replaced, isDoubtful: true }

// Guards against sound requests that are held back because the paths of some hosts are cut.
test('an endpoint that answers any host still runs, and silence counts only from hosts that reach others', (t) => {
  t.is(judgeEndpointLife(SURE, [SURE, ALIVE]), EndpointLife.Running)
  t.is(judgeEndpointLife(DOUBTFUL, [DOUBTFUL]), EndpointLife.Unknown)
  t.is(judgeEndpointLife(DOUBTFUL, []), EndpointLife.Unknown)
})

// Guards against requests whose crashes don't count because they leave a host in doubt (BUDGET).
test('an endpoint has ended if one host that reaches others gets no sign, or another incarnation answers', (t) => {
  t.is(judgeEndpointLife(DOUBTFUL, [SURE, DOUBTFUL]), EndpointLife.Ended)
  t.is(judgeEndpointLife(SURE, []), EndpointLife.Ended)
  t.is(judgeEndpointLife(REPLACED, []), EndpointLife.Ended)
})
