import {readFileSync} from 'node:fs';

const TICKS_A_SECOND = 100;
const MICROSECONDS_A_SECOND = 1_000_000;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What a process has used, as Linux counts it. */
export interface ProcessUsage {
  /** Processor time since its start, in microseconds. */
  readonly processorMicroseconds: number;
  readonly residentBytes: number;
  /** Bytes read and written, over TCP and in files. */
  readonly transferredBytes: number;
}

/** Reads a process's usage from `/proc` (proc(5)). */
export function usageOf(processId: number): ProcessUsage {
  const folder = `/proc/${processId}`;
  const stat = readFileSync(`${folder}/stat`, 'latin1');
  // The command's name, in parentheses, may have blanks in it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    processorMicroseconds: (ticks / TICKS_A_SECOND) * MICROSECONDS_A_SECOND,
    residentBytes: residentBytes(readFileSync(`${folder}/status`, 'latin1')),
    transferredBytes: transferred(readFileSync(`${folder}/io`, 'latin1')),
  };
}

function residentBytes(status: string): number {
  const kibibytes = /VmRSS:\s+([0-9]+) kB/.exec(status)?.[1];
  return Number(kibibytes ?? 0) * 1024;
}

function transferred(io: string): number {
  const read = /rchar: ([0-9]+)/.exec(io)?.[1];
  const written = /wchar: ([0-9]+)/.exec(io)?.[1];
  return Number(read ?? 0) + Number(written ?? 0);
}
