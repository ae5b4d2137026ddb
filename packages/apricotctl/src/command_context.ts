import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {Either} from 'purify-ts';
import {OperatorClient, OperatorError} from '@apricotlock/operator';
import {parseAddress} from '@apricotlock/topology';
import {ExitCode} from './exit_code.js';
import {OutputFormat} from './output.js';

/** Flags common to all commands. */
export interface CommonFlags {
  readonly address: string;
  readonly tokenFile: string;
  /** File with the CA certificate of the API; empty to use HTTP without TLS. */
  readonly authorityFile: string;
  readonly output: OutputFormat;
}

/** Writes a message to standard error and exits with `code`. */
export function exitWith(code: number, message: string): never {
  process.stderr.write(`apricotctl: ${message}\n`);
  return process.exit(code);
}

/**
 * Creates the API client for the common flags. Exits with `USAGE` if the
 * address is malformed or a file cannot be read.
 */
export function createClient(flags: CommonFlags): OperatorClient {
  const address = parseAddress(flags.address);
  if (address.isLeft()) {
    exitWith(ExitCode.USAGE, `--address: "${flags.address}" is not IP:PORT`);
  }
  return OperatorClient.create(
    address.unsafeCoerce(),
    readToken(flags.tokenFile),
    userInfo().username,
    flags.authorityFile === ''
      ? undefined
      : readFlagFile('--authority-file', flags.authorityFile),
  );
}

/** Returns the answer, or exits with the code and message of the error. */
export function answerOrExit<T>(result: Either<OperatorError, T>): T {
  return result.caseOf({
    Right: answer => answer,
    Left: error => exitOnError(error),
  });
}

/**
 * Returns the first line of the file, which is the newest token. The other
 * lines are older tokens that servers still accept.
 */
function readToken(path: string): string {
  const [newest = ''] = readFlagFile('--token-file', path).trim().split('\n');
  return newest.trim();
}

function readFlagFile(flag: string, path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return exitWith(ExitCode.USAGE, `${flag}: cannot read "${path}"`);
  }
}

function exitOnError(error: OperatorError): never {
  switch (error.kind) {
    case 'unreachable':
      return exitWith(ExitCode.UNREACHABLE, `request failed: ${error.reason}`);
    case 'unauthorized':
      return exitWith(ExitCode.REFUSED, 'the VM rejected the token');
    case 'conflict':
      return exitWith(
        ExitCode.CONFLICT,
        `conflict: the catalogue is now at version ${error.version}`,
      );
    case 'faults': {
      const lines = error.faults.map(
        ({path, message}) => `${path}: ${message}`,
      );
      return exitWith(ExitCode.REFUSED, ['refused', ...lines].join('\n'));
    }
    case 'refused':
      return exitWith(ExitCode.REFUSED, error.reason);
  }
}
