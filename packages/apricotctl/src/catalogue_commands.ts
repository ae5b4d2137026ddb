import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Right} from 'purify-ts';
import {ChangeReport} from '@apricotlock/operator';
import {Catalogue, CatalogueEntry} from '@apricotlock/topology';
import {
  answerOrExit,
  clientFor,
  CommonFlags,
  exitWith,
} from './command_context.js';
import {ExitCode} from './exit_code.js';
import {catalogueChanges, withAssignments} from './catalogue_edit.js';
import {OutputTable, writeAnswer} from './output.js';

/** Flags of commands that change something. */
export interface ChangeFlags extends CommonFlags {
  readonly changeId: string | undefined;
  readonly wait: boolean;
}

/** Shows the catalogue in force on the asked VM. */
export async function getCatalogue(flags: CommonFlags): Promise<void> {
  const catalogue = answerOrExit(await clientFor(flags).catalogue());
  writeAnswer(flags.output, catalogue, catalogueTable(catalogue));
}

/** Replaces the catalogue by the one in a file. */
export async function putCatalogue(
  flags: ChangeFlags & {
    readonly file: string;
    readonly baseVersion: number | undefined;
  },
): Promise<void> {
  const wanted = readCatalogueFile(flags.file);
  const baseVersion = flags.baseVersion ?? wanted.version;
  const report = answerOrExit(
    await clientFor(flags).putCatalogue(
      flags.changeId ?? randomUUID(),
      baseVersion,
      wanted.entries,
      flags.wait,
    ),
  );
  finishChange(flags, report);
}

/** Changes, adds or deletes one entry of the newest catalogue. */
export async function editCatalogue(
  flags: ChangeFlags & {
    readonly name: string;
    readonly set: readonly string[];
    readonly delete: boolean;
  },
): Promise<void> {
  const client = clientFor(flags);
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
  finishChange(flags, report);
}

/** Shows what putting a file would change, and changes nothing. */
export async function diffCatalogue(
  flags: CommonFlags & {readonly file: string},
): Promise<void> {
  const wanted = readCatalogueFile(flags.file);
  const {version, entries} = answerOrExit(await clientFor(flags).catalogue());
  const changes = catalogueChanges(entries, wanted.entries);
  const answer = {version, madeFrom: wanted.version, changes};
  writeAnswer(flags.output, answer, {
    columns: ['CHANGE', 'PATH', 'NOW', 'WANTED'],
    rows: changes.map(({kind, path, now, wanted: then}) => [
      kind,
      path,
      now === undefined ? '' : JSON.stringify(now),
      then === undefined ? '' : JSON.stringify(then),
    ]),
  });
  if (wanted.version === version) return;
  exitWith(
    ExitCode.CONFLICT,
    `the file was made from version ${wanted.version}, not ${version}`,
  );
}

/** Shows who changed the catalogue, when, and what. */
export async function showHistory(flags: CommonFlags): Promise<void> {
  const all = {afterIndex: 0, from: 0};
  const trail = answerOrExit(await clientFor(flags).audit(all));
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

/** Shows what a change did, and ends with the code that says so. */
export function finishChange(flags: ChangeFlags, report: ChangeReport): void {
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
}

/** Takes `{"version": …, "entries": […]}`, as `catalogue get` writes it. */
function readCatalogueFile(path: string): CatalogueFile {
  let parsed: unknown;
  try {
    parsed = JSON.parse(readFileSync(path === '-' ? 0 : path, 'utf8'));
  } catch (failure) {
    exitWith(ExitCode.USAGE, `${path}: ${String(failure)}`);
  }
  const {version, entries} = parsed as Partial<CatalogueFile>;
  if (!Array.isArray(entries)) {
    exitWith(ExitCode.USAGE, `${path}: "entries" is missing`);
  }
  return {version: version ?? 0, entries: entries as readonly unknown[]};
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
