import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {ChangeReport} from '@apricotlock/operator';
import {Catalogue, CatalogueEntry} from '@apricotlock/topology';
import {
  answerOrExit,
  clientFor,
  CommonFlags,
  exitWith,
} from './command_context.js';
import {ExitCode} from './exit_code.js';
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
