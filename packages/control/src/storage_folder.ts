import {mkdir, open, readdir, readFile, rename, unlink} from 'node:fs/promises';
import {FileHandle} from 'node:fs/promises';
import {join} from 'node:path';

const TEMPORARY_SUFFIX = '.new';

/** An append-only file. */
export abstract class StorageFile {
  /** Appends bytes; they survive a power loss only after {@link sync}. */
  abstract append(bytes: Buffer): Promise<void>;

  /** Returns once all appended bytes are on the disk. */
  abstract sync(): Promise<void>;

  /** Closes the file without syncing it. */
  abstract close(): Promise<void>;
}

/**
 * A folder for data that must survive a power loss. All methods throw the
 * errors of the file system.
 */
export abstract class StorageFolder {
  /** The path of the folder, for messages. */
  abstract readonly path: string;

  /** Returns the names of the files. */
  abstract list(): Promise<readonly string[]>;

  /** Returns the content of a file. */
  abstract read(name: string): Promise<Buffer>;

  /** Opens a file for appending, truncated to `length` bytes. */
  abstract openForAppend(name: string, length: number): Promise<StorageFile>;

  /** Creates or overwrites a file and syncs its content, but not its name. */
  abstract write(name: string, bytes: Buffer): Promise<void>;

  /** Renames a file, replacing an existing one with the new name. */
  abstract rename(from: string, to: string): Promise<void>;

  /** Deletes a file. */
  abstract remove(name: string): Promise<void>;

  /** Returns once the names of the folder's files are on the disk. */
  abstract syncNames(): Promise<void>;

  /**
   * Replaces a file atomically: after a crash it has either the old or the new
   * content.
   */
  async replace(name: string, bytes: Buffer): Promise<void> {
    const temporary = `${name}${TEMPORARY_SUFFIX}`;
    await this.write(temporary, bytes);
    await this.rename(temporary, name);
    await this.syncNames();
  }

  /** Returns the full path of a file, for messages. */
  pathOf(name: string): string {
    return join(this.path, name);
  }
}

/** A folder on a disk. */
export class DiskFolder extends StorageFolder {
  private constructor(readonly path: string) {
    super();
  }

  /** Opens a folder, and creates it if it does not exist. */
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

  override async openForAppend(
    name: string,
    length: number,
  ): Promise<StorageFile> {
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
