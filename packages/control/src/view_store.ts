import {Deferred} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {ClusterView} from '@apricotlock/topology';
import {decodeRecords, encodeRecord} from './record_file.js';
import {StorageFolder} from './storage_folder.js';

const FILE_NAME = 'view';

/**
 * The newest view on disk, so that a restarted VM never goes back behind it.
 * A damaged file counts as none: it is a copy of what control decided.
 */
export class ViewStore {
  private waiting: ClusterView | undefined;
  private written = Deferred.create<void>();
  private writing = false;

  private constructor(
    private readonly folder: StorageFolder,
    private readonly logger: Logger,
  ) {}

  /** Keeps the view in a folder. */
  static of(folder: StorageFolder, logger: Logger): ViewStore {
    return new ViewStore(folder, logger);
  }

  /** The view that was kept, if one was. */
  async load(): Promise<ClusterView | undefined> {
    const names = await this.folder.list();
    if (!names.includes(FILE_NAME)) return undefined;
    const decoded = decodeRecords(await this.folder.read(FILE_NAME));
    const view = decoded
      .map(({records}) => records[0] as ClusterView | undefined)
      .orDefault(undefined);
    if (view === undefined) {
      const file = this.folder.pathOf(FILE_NAME);
      this.logger.warn('the kept view is damaged and not used', {file});
    }
    return view;
  }

  /** Returns once the view, or one that was kept after it, is synced. */
  keep(view: ClusterView): Promise<void> {
    this.waiting = view;
    const {promise} = this.written;
    if (!this.writing) void this.writeAll();
    return promise;
  }

  private async writeAll(): Promise<void> {
    this.writing = true;
    while (this.waiting !== undefined) {
      const view = this.waiting;
      const {written} = this;
      this.waiting = undefined;
      this.written = Deferred.create<void>();
      try {
        await this.folder.replace(FILE_NAME, encodeRecord(view));
      } catch (failure) {
        // The view counts all the same: control's decisions go first.
        this.logger.error('the view cannot be kept', {
          failure: String(failure),
        });
      }
      written.resolve();
    }
    this.writing = false;
  }
}
