import {RandomSource, StorageFile, StorageFolder} from '../../src/index.js';

/** What a disk in memory holds: what is synced, and what is not yet. */
interface Content {
  synced: Buffer;
  unsynced: Buffer;
}

/** A folder in memory that can lose its power at any operation. */
export class MemoryFolder extends StorageFolder {
  override readonly path = '/memory';
  operations = 0;
  /** The operation at which the power goes; it and all later ones fail. */
  crashAt = Infinity;

  /** Writes wait for this: a slow disk. */
  held: Promise<void> = Promise.resolve();

  private constructor(
    private readonly files: Map<string, Content>,
    /** What the names were when they were last synced. */
    private syncedNames: ReadonlyMap<string, Content>,
  ) {
    super();
  }

  static create(): MemoryFolder {
    return new MemoryFolder(new Map(), new Map());
  }

  /** What is there after a loss of power: some of what was not synced too. */
  afterCrash(random: RandomSource): MemoryFolder {
    const names = random.next() < 0.5 ? this.files : this.syncedNames;
    const survived = new Map<string, Content>();
    for (const [name, {synced, unsynced}] of names) {
      const kept = Math.floor(random.next() * (unsynced.length + 1));
      const tail = Buffer.from(unsynced.subarray(0, kept));
      // A page that was not written yet reads as anything.
      if (kept > 0 && random.next() < 0.5) tail[kept - 1] = 0xff;
      const bytes = Buffer.concat([synced, tail]);
      survived.set(name, {synced: bytes, unsynced: Buffer.alloc(0)});
    }
    return new MemoryFolder(survived, new Map(survived));
  }

  /** Changes one byte of a file. */
  damage(name: string, offset: number): void {
    const content = this.contentOf(name);
    content.synced[offset] = (content.synced[offset] ?? 0) ^ 0xff;
  }

  sizeOf(name: string): number {
    const {synced, unsynced} = this.contentOf(name);
    return synced.length + unsynced.length;
  }

  step(): void {
    this.operations += 1;
    if (this.operations >= this.crashAt) throw new Error('the power is gone');
  }

  contentOf(name: string): Content {
    const content = this.files.get(name);
    if (content === undefined) throw new Error(`no file ${name}`);
    return content;
  }

  override async list(): Promise<readonly string[]> {
    return [...this.files.keys()];
  }

  override async read(name: string): Promise<Buffer> {
    const {synced, unsynced} = this.contentOf(name);
    return Buffer.concat([synced, unsynced]);
  }

  override async openAt(name: string, length: number): Promise<StorageFile> {
    const content = this.contentOf(name);
    content.synced = content.synced.subarray(0, length);
    return new MemoryFile(this, content);
  }

  override async write(name: string, bytes: Buffer): Promise<void> {
    await this.held;
    const content = {synced: Buffer.alloc(0), unsynced: bytes};
    this.files.set(name, content);
    this.step();
    content.synced = Buffer.from(bytes);
    content.unsynced = Buffer.alloc(0);
    this.step();
  }

  override async rename(from: string, to: string): Promise<void> {
    this.step();
    this.files.set(to, this.contentOf(from));
    this.files.delete(from);
  }

  override async remove(name: string): Promise<void> {
    this.step();
    this.files.delete(name);
  }

  override async syncNames(): Promise<void> {
    this.step();
    this.syncedNames = new Map(this.files);
  }
}

class MemoryFile extends StorageFile {
  constructor(
    private readonly folder: MemoryFolder,
    private readonly content: Content,
  ) {
    super();
  }

  override async append(bytes: Buffer): Promise<void> {
    this.content.unsynced = Buffer.concat([this.content.unsynced, bytes]);
    this.folder.step();
  }

  override async sync(): Promise<void> {
    this.folder.step();
    const {synced, unsynced} = this.content;
    this.content.synced = Buffer.concat([synced, unsynced]);
    this.content.unsynced = Buffer.alloc(0);
  }

  override async close(): Promise<void> {
    return undefined;
  }
}
