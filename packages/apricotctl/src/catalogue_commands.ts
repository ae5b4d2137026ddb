import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Right} from 'purify-ts';
import {ChangeReport} from '@apricotlock/operator';
import {Catalogue, CatalogueEntry} from '@apricotlock/topology';
import {
  answerOrExit,
  createClient,
  CommonFlags,
  exitWith,
} from './command_context.js';
import {ExitCode} from './exit_code.js';
import {
  catalogueChanges,
  organisationChanges,
  withAssignments,
} from './catalogue_edit.js';
import {OutputTable, writeAnswer} from './output.js';

/** Flags of the commands that change the state of the system. */
export interface ChangeFlags extends CommonFlags {
  readonly changeId: string | undefined;
  readonly wait: boolean;
}

/** Prints the catalogue that is in force on the VM at `flags.address`. */
export async function getCatalogue(flags: CommonFlags): Promise<void> {
  const catalogue = answerOrExit(await createClient(flags).catalogue());
  writeAnswer(flags.output, catalogue, catalogueTable(catalogue));
}

/**
 * Replaces the catalogue with the contents of a file. The system reports a
 * conflict unless its version is still `baseVersion`, by default the version
 * in the file.
 */
export async function putCatalogue(
  flags: ChangeFlags & {
    readonly file: string;
    readonly baseVersion: number | undefined;
  },
): Promise<void> {
  const wanted = readCatalogueFile(flags.file);
  const baseVersion = flags.baseVersion ?? wanted.version;
  const report = answerOrExit(
    await createClient(flags).putCatalogue(
      flags.changeId ?? randomUUID(),
      baseVersion,
      wanted.entries,
      flags.wait,
      wanted.organisations,
    ),
  );
  reportChange(flags, report);
}

/**
 * Changes, adds or deletes one entry of the current catalogue. The change is
 * refused as a conflict if another one was committed after the catalogue was
 * fetched.
 */
export async function editCatalogue(
  flags: ChangeFlags & {
    readonly name: string;
    readonly set: readonly string[];
    readonly delete: boolean;
  },
): Promise<void> {
  const client = createClient(flags);
  const {version, entries} = answerOrExit(await client.catalogue());
  const edited = flags.delete
    ? Right(entries.filter(({name}) => name !== flags.name))
    : withAssignments(entries, flags.name, flags.set);
  if (edited.isLeft()) {
    exitWith(ExitCode.USAGE, `--set: ${edited.extract() as string}`);
  }
  const report = answerOrExit(
    await client.putCatalogue(
      flags.changeId ?? randomUUID(),
      version,
      edited.unsafeCoerce(),
      flags.wait,
    ),
  );
  reportChange(flags, report);
}

/**
 * Prints how the catalogue in a file differs from the current one. Exits with
 * `CONFLICT` if the file was derived from another version.
 */
export async function diffCatalogue(
  flags: CommonFlags & {readonly file: string},
): Promise<void> {
  const wanted = readCatalogueFile(flags.file);
  const {version, entries, organisations} = answerOrExit(
    await createClient(flags).catalogue(),
  );
  const changes = [
    ...catalogueChanges(entries, wanted.entries),
    ...organisationChanges(organisations, wanted.organisations),
  ];
  const answer = {version, madeFrom: wanted.version, changes};
  writeAnswer(flags.output, answer, {
    columns: ['CHANGE', 'PATH', 'NOW', 'WANTED'],
    rows: changes.map(({kind, path, now, wanted: wantedValue}) => [
      kind,
      path,
      now === undefined ? '' : JSON.stringify(now),
      wantedValue === undefined ? '' : JSON.stringify(wantedValue),
    ]),
  });
  if (wanted.version === version) return;
  exitWith(
    ExitCode.CONFLICT,
    `the file is based on version ${wanted.version}, not ${version}`,
  );
}

/** Prints the accepted catalogue changes with their time and actor. */
export async function showHistory(flags: CommonFlags): Promise<void> {
  const all = {afterIndex: 0, from: 0};
  const trail = answerOrExit(await createClient(flags).audit(all));
  const records = trail.records.filter(
    ({action, result}) => action === 'putCatalogue' && result === 'accepted',
  );
  writeAnswer(flags.output, records, {
    columns: ['VERSION', 'TIME', 'ACTOR', 'CHANGES'],
    rows: records.map(({fromVersion, at, actor, subject}) => [
      String(fromVersion + 1),
      new Date(at).toISOString(),
      actor,
      subject,
    ]),
  });
}

/**
 * Prints the result of a change. Exits with `NOT_IN_FORCE` if some VMs have not
 * confirmed the change.
 */
export function reportChange(flags: ChangeFlags, report: ChangeReport): void {
  const missing = report.missing ?? [];
  writeAnswer(flags.output, report, {
    columns: ['RESULT', 'VERSION', 'MISSING'],
    rows: [[report.result, String(report.version ?? ''), missing.join(' ')]],
  });
  if (missing.length > 0) process.exit(ExitCode.NOT_IN_FORCE);
}

interface CatalogueFile {
  readonly version: number;
  readonly entries: readonly unknown[];
  /** With keys in clear text, or with digests; if absent, they remain. */
  readonly organisations: readonly unknown[] | undefined;
}

/**
 * Reads a file of the form `{"version": …, "entries": […]}`, as
 * `catalogue get --output json` writes it; `-` means standard input. Exits with
 * `USAGE` if the file cannot be read or has no `entries`.
 */
function readCatalogueFile(path: string): CatalogueFile {
  let parsed: unknown;
  try {
    parsed = JSON.parse(readFileSync(path === '-' ? 0 : path, 'utf8'));
  } catch (failure) {
    // The message of a syntax error quotes the file, which may have keys.
    const reason =
      failure instanceof SyntaxError ? 'not JSON' : String(failure);
    exitWith(ExitCode.USAGE, `${path}: ${reason}`);
  }
  const {version, entries, organisations} = parsed as Partial<CatalogueFile>;
  if (!Array.isArray(entries)) {
    exitWith(ExitCode.USAGE, `${path}: "entries" is missing`);
  }
  if (organisations !== undefined && !Array.isArray(organisations)) {
    exitWith(ExitCode.USAGE, `${path}: "organisations" is not a list`);
  }
  return {
    version: version ?? 0,
    entries: entries as readonly unknown[],
    organisations: organisations as readonly unknown[] | undefined,
  };
}

function catalogueTable(catalogue: Catalogue): OutputTable {
  return {
    columns: ['ENTRY', 'OWNER', 'CLASS', 'DATABASE', 'CONNECTIONS', 'SLOTS'],
    rows: catalogue.entries.map(entryRow),
  };
}

function entryRow(entry: CatalogueEntry): readonly string[] {
  const {connections, slots} = entry.limits;
  return [
    entry.name,
    entry.owner,
    entry.class,
    entry.database,
    String(connections),
    String(slots),
  ];
}
