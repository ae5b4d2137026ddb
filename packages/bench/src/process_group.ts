import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** What is started. */
export interface ProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly flags: readonly string[];
  readonly environment: Readonly<Record<string, string>>;
  /** Where its output goes. */
  readonly logPath: string;
}

/** Processes that end with this one, whatever happens. */
export class ProcessGroup {
  private readonly children = new Map<string, ChildProcess>();

  private readonly atExit = () => this.killAll();

  private constructor() {
    process.on('exit', this.atExit);
  }

  /** An empty group. */
  static create(): ProcessGroup {
    return new ProcessGroup();
  }

  /** Starts a process under a name that is free. */
  start(options: ProcessOptions): void {
    const log = openSync(options.logPath, 'a');
    const child = spawn(process.execPath, [options.script, ...options.flags], {
      env: {PATH: process.env['PATH'] ?? '', ...options.environment},
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.children.set(options.name, child);
  }

  /** The id of a process that was started. */
  processId(name: string): number | undefined {
    return this.children.get(name)?.pid;
  }

  /** Sends a signal to one process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.kill(signal);
  }

  /** Waits for a process to end; gives its exit code. */
  async ended(name: string): Promise<number | null> {
    const child = this.children.get(name);
    if (child === undefined) return null;
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return new Promise(resolve => {
      child.once('exit', code => resolve(code));
    });
  }

  /** Ends all processes and waits until they are gone. */
  async stopAll(): Promise<void> {
    this.killAll();
    await Promise.all([...this.children.keys()].map(name => this.ended(name)));
    process.off('exit', this.atExit);
  }

  private killAll(): void {
    for (const child of this.children.values()) {
      if (child.exitCode === null) child.kill('SIGKILL');
    }
  }
}
