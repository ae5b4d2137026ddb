import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** Options of a process to start. */
export interface ProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly flags: readonly string[];
  readonly environment: Readonly<Record<string, string>>;
  /** File to which standard output and standard error are appended. */
  readonly logPath: string;
}

/** Child processes that are killed when this process exits. */
export class ProcessGroup {
  private readonly children = new Map<string, ChildProcess>();

  private readonly atExit = () => this.killAll();

  private constructor() {
    process.on('exit', this.atExit);
  }

  /** Creates an empty group. */
  static create(): ProcessGroup {
    return new ProcessGroup();
  }

  /** Starts a process under a name that no running process of the group has. */
  start(options: ProcessOptions): void {
    const log = openSync(options.logPath, 'a');
    const child = spawn(process.execPath, [options.script, ...options.flags], {
      env: {PATH: process.env['PATH'] ?? '', ...options.environment},
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.children.set(options.name, child);
  }

  /** Returns the id of a process, or `undefined` if it was never started. */
  processId(name: string): number | undefined {
    return this.children.get(name)?.pid;
  }

  /** The names of all processes, by process id. */
  get namesByProcessId(): ReadonlyMap<number, string> {
    const named = [...this.children].map(
      ([name, {pid}]) => [pid ?? 0, name] as const,
    );
    return new Map(named);
  }

  /** Sends a signal to one process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /**
   * Waits for a process to exit and returns its exit code, or `null` if a
   * signal ended it or no such process was started.
   */
  async waitForExit(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (child === undefined) return null;
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return new Promise(resolve => {
      child.once('exit', code => resolve(code));
    });
  }

  /** Kills all processes and waits until they have exited. */
  async stopAll(): Promise<void> {
    this.killAll();
    await Promise.all(
      [...this.children.keys()].map(name => this.waitForExit(name)),
    );
    process.off('exit', this.atExit);
  }

  private killAll(): void {
    for (const child of this.children.values()) {
      if (child.exitCode === null) child.kill('SIGKILL');
    }
  }
}
