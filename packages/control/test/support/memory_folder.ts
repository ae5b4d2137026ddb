import {RandomSource, StorageFile, StorageFolder} from '../../src/index.js';

/** The synced and unsynced content of a file in memory. */
interface Content {
  synced: Buffer;
  unsynced: Buffer;
}

/** A folder in memory that can simulate a power loss at any operation. */
export class MemoryFolder extends StorageFolder {
  override readonly path = '/memory';
  operations = 0;
  /** The operation at which power is lost; it and all later ones fail. */
  crashAt = Infinity;

  private refusedFrom = Infinity;
  private refusedUntil = Infinity;

  /** Writes wait for this promise, which simulates a slow disk. */
  writeGate: Promise<void> = Promise.resolve();

  private constructor(
    private readonly files: Map<string, Content>,
    /** The names of the files when they were last synced. */
    private syncedNames: ReadonlyMap<string, Content>,
  ) {
    super();
  }

  static create(): MemoryFolder {
    return new MemoryFolder(new Map(), new Map());
  }

  /**
   * Returns the folder after a power loss, with a random part of the unsynced
   * data.
   */
  afterCrash(random: RandomSource): MemoryFolder {
    const names = random.nextNumber() < 0.5 ? this.files : this.syncedNames;
    const survived = new Map<string, Content>();
    for (const [name, {synced, unsynced}] of names) {
      const length = Math.floor(random.nextNumber() * (unsynced.length + 1));
      const tail = Buffer.from(unsynced.subarray(0, length));
      // The last page may be torn: it can contain arbitrary bytes.
      if (length > 0 && random.nextNumber() < 0.5) tail[length - 1] = 0xff;
      const bytes = Buffer.concat([synced, tail]);
      survived.set(name, {synced: bytes, unsynced: Buffer.alloc(0)});
    }
    return new MemoryFolder(survived, new Map(survived));
  }

  /** Flips all bits of one byte of a file. */
  damage(name: string, offset: number): void {
    const content = this.contentOf(name);
    content.synced[offset] = (content.synced[offset] ?? 0) ^ 0xff;
  }

  sizeOf(name: string): number {
    const {synced, unsynced} = this.contentOf(name);
    return synced.length + unsynced.length;
  }

  /** Refuses `count` operations from the given one on. */
  refuse(from: number, count: number): void {
    this.refusedFrom = from;
    this.refusedUntil = from + count;
  }

  countOperation(): void {
    this.operations += 1;
    const isRefused =
      this.operations >= this.refusedFrom &&
      this.operations < this.refusedUntil;
    if (isRefused) throw new Error('no space left on device');
    if (this.operations >= this.crashAt) throw new Error('power loss');
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

  override async openForAppend(
    name: string,
    length: number,
  ): Promise<StorageFile> {
    const content = this.contentOf(name);
    content.synced = content.synced.subarray(0, length);
    return new MemoryFile(this, content);
  }

  override async write(name: string, bytes: Buffer): Promise<void> {
    await this.writeGate;
    const content = {synced: Buffer.alloc(0), unsynced: bytes};
    this.files.set(name, content);
    this.countOperation();
    content.synced = Buffer.from(bytes);
    content.unsynced = Buffer.alloc(0);
    this.countOperation();
  }

  override async rename(from: string, to: string): Promise<void> {
    this.countOperation();
    this.files.set(to, this.contentOf(from));
    this.files.delete(from);
  }

  override async remove(name: string): Promise<void> {
    this.countOperation();
    this.files.delete(name);
  }

  override async syncNames(): Promise<void> {
    this.countOperation();
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
    this.folder.countOperation();
  }

  override async sync(): Promise<void> {
    this.folder.countOperation();
    const {synced, unsynced} = this.content;
    this.content.synced = Buffer.concat([synced, unsynced]);
    this.content.unsynced = Buffer.alloc(0);
  }

  override async close(): Promise<void> {
    return undefined;
  }
}
