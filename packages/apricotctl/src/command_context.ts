import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {Either} from 'purify-ts';
import {OperatorClient, OperatorError} from '@apricotlock/operator';
import {parseAddress} from '@apricotlock/topology';
import {ExitCode} from './exit_code.js';
import {OutputFormat} from './output.js';

/** Flags that every command has. */
export interface CommonFlags {
  readonly address: string;
  readonly tokenFile: string;
  /** Empty if the API is in the clear. */
  readonly authorityFile: string;
  readonly output: OutputFormat;
}

/** Ends the command with a message. */
export function exitWith(code: number, message: string): never {
  process.stderr.write(`apricotctl: ${message}\n`);
  return process.exit(code);
}

/** The client that the common flags ask for. */
export function clientFor(flags: CommonFlags): OperatorClient {
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

/** The answer, or the end of the command. */
export function answerOrExit<T>(result: Either<OperatorError, T>): T {
  return result.caseOf({
    Right: answer => answer,
    Left: error => exitOnError(error),
  });
}

/** The first of the file's lines; further ones are accepted by servers. */
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
      return exitWith(ExitCode.UNREACHABLE, `no answer: ${error.reason}`);
    case 'unauthorized':
      return exitWith(ExitCode.REFUSED, 'the token is not accepted');
    case 'conflict':
      return exitWith(
        ExitCode.CONFLICT,
        `another change came first: the catalogue has version ${error.version}`,
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
