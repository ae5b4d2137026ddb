import {Either, Left, Right} from 'purify-ts';
import {describePeerError, PeerError} from '@apricotlock/peer';
import {CommandAnswer} from './control_command.js';
import {ControlError} from './control_log.js';

/**
 * The answer to a command, or the reason why there is none, as sent between
 * VMs.
 */
export type ProposeOutcome = CommandAnswer | ControlError;

/** Converts an outcome to its message form. */
export function packOutcome(
  outcome: Either<ControlError, CommandAnswer>,
): ProposeOutcome {
  return outcome.extract();
}

/** Converts another VM's answer, or the failure of the call, to an outcome. */
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
  const wasNotSent = error.kind === 'notSent';
  return {
    kind: wasNotSent ? 'unavailable' : 'unknown',
    reason: describePeerError(error),
  };
}
