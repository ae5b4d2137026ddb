import {mkdir, open, readdir, readFile, rename, unlink} from 'node:fs/promises';
import {FileHandle} from 'node:fs/promises';
import {join} from 'node:path';

const TEMPORARY_SUFFIX = '.new';

/** A file that only grows. */
export abstract class StorageFile {
  /** Adds bytes at the end; they last only after {@link sync}. */
  abstract append(bytes: Buffer): Promise<void>;

  /** Returns once everything appended before lasts. */
  abstract sync(): Promise<void>;

  abstract close(): Promise<void>;
}

/** A folder for what must survive. Each method throws what the disk says. */
export abstract class StorageFolder {
  /** Where it is, for messages. */
  abstract readonly path: string;

  abstract list(): Promise<readonly string[]>;

  abstract read(name: string): Promise<Buffer>;

  /** Opens a file for appending, cut to `length` bytes. */
  abstract openAt(name: string, length: number): Promise<StorageFile>;

  /** Makes or overwrites a file and syncs its content, not its name. */
  abstract write(name: string, bytes: Buffer): Promise<void>;

  abstract rename(from: string, to: string): Promise<void>;

  abstract remove(name: string): Promise<void>;

  /** Returns once the names of the folder last. */
  abstract syncNames(): Promise<void>;

  /** Puts a whole file in place: after a crash it is the old one or the new. */
  async replace(name: string, bytes: Buffer): Promise<void> {
    const temporary = `${name}${TEMPORARY_SUFFIX}`;
    await this.write(temporary, bytes);
    await this.rename(temporary, name);
    await this.syncNames();
  }

  /** Full name of a file, for messages. */
  pathOf(name: string): string {
    return join(this.path, name);
  }
}

/** A folder on a disk. */
export class DiskFolder extends StorageFolder {
  private constructor(readonly path: string) {
    super();
  }

  /** Makes the folder where there is none. */
  static async open(path: string): Promise<DiskFolder> {
    await mkdir(path, {recursive: true});
    return new DiskFolder(path);
  }

  override list(): Promise<readonly string[]> {
    return readdir(this.path);
  }

  override read(name: string): Promise<Buffer> {
    return readFile(this.pathOf(name));
  }

  override async openAt(name: string, length: number): Promise<StorageFile> {
    const handle = await open(this.pathOf(name), 'r+');
    const {size} = await handle.stat();
    if (size > length) {
      await handle.truncate(length);
      await handle.sync();
    }
    return new DiskFile(handle, length);
  }

  override async write(name: string, bytes: Buffer): Promise<void> {
    const handle = await open(this.pathOf(name), 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  override rename(from: string, to: string): Promise<void> {
    return rename(this.pathOf(from), this.pathOf(to));
  }

  override remove(name: string): Promise<void> {
    return unlink(this.pathOf(name));
  }

  override async syncNames(): Promise<void> {
    const handle = await open(this.path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

class DiskFile extends StorageFile {
  constructor(
    private readonly handle: FileHandle,
    private length: number,
  ) {
    super();
  }

  override async append(bytes: Buffer): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const {bytesWritten} = await this.handle.write(
        bytes,
        written,
        bytes.length - written,
        this.length + written,
      );
      written += bytesWritten;
    }
    this.length += written;
  }

  override sync(): Promise<void> {
    return this.handle.datasync();
  }

  override close(): Promise<void> {
    return this.handle.close();
  }
}
