export { seededRandom } from '@cyclamenthread/standins'
