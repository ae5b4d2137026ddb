import {Either, Left, Right} from 'purify-ts';
import {describePeerError, PeerError} from '@apricotlock/peer';
import {CommandAnswer} from './control_command.js';
import {ControlError} from './control_log.js';

/** An answer, or why there is none, as it passes between VMs. */
export type ProposeOutcome = CommandAnswer | ControlError;

/** For the way over the network. */
export function packOutcome(
  outcome: Either<ControlError, CommandAnswer>,
): ProposeOutcome {
  return outcome.extract();
}

/** What the other side's answer, or the lack of one, means here. */
export function unpackOutcome(
  answer: Either<PeerError, ProposeOutcome>,
): Either<ControlError, CommandAnswer> {
  return answer.caseOf<Either<ControlError, CommandAnswer>>({
    Left: error => Left(controlErrorOf(error)),
    Right: outcome =>
      outcome.kind === 'unavailable' || outcome.kind === 'unknown'
        ? Left(outcome)
        : Right(outcome),
  });
}

function controlErrorOf(error: PeerError): ControlError {
  const notTaken = error.kind === 'notSent';
  return {
    kind: notTaken ? 'unavailable' : 'unknown',
    reason: describePeerError(error),
  };
}
