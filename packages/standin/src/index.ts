/**
 * A stand-in database member for tests, demonstrations and measurements. Not
 * shipped.
 *
 * @packageDocumentation
 */
export {FaultGate, type GateMode} from './fault_gate.js';
export {type WorkCounts} from './work_counter.js';
