import {Deferred} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {ClusterView} from '@apricotlock/topology';
import {decodeRecords, encodeRecord} from './record_file.js';
import {StorageFolder} from './storage_folder.js';

const FILE_NAME = 'view';

/**
 * Stores the newest view on disk, so that a restarted VM never uses an older
 * one. A damaged file is ignored, as it is only a copy of what control
 * committed.
 */
export class ViewStore {
  private pendingView: ClusterView | undefined;
  private nextWrite = Deferred.create<void>();
  private writing = false;

  private constructor(
    private readonly folder: StorageFolder,
    private readonly logger: Logger,
  ) {}

  /** Creates a store in a folder. */
  static of(folder: StorageFolder, logger: Logger): ViewStore {
    return new ViewStore(folder, logger);
  }

  /** Returns the stored view, if there is an intact one. */
  async load(): Promise<ClusterView | undefined> {
    const names = await this.folder.list();
    if (!names.includes(FILE_NAME)) return undefined;
    const decoded = decodeRecords(await this.folder.read(FILE_NAME));
    const view = decoded
      .map(({records}) => records[0] as ClusterView | undefined)
      .orDefault(undefined);
    if (view === undefined) {
      const file = this.folder.pathOf(FILE_NAME);
      this.logger.warn('ignoring the stored view: the file is damaged', {file});
    }
    return view;
  }

  /**
   * Returns once the view, or a newer one, is synced. A failed write is logged
   * and not reported.
   */
  save(view: ClusterView): Promise<void> {
    this.pendingView = view;
    const {promise} = this.nextWrite;
    if (!this.writing) void this.writePending();
    return promise;
  }

  private async writePending(): Promise<void> {
    this.writing = true;
    while (this.pendingView !== undefined) {
      const view = this.pendingView;
      const {nextWrite} = this;
      this.pendingView = undefined;
      this.nextWrite = Deferred.create<void>();
      try {
        await this.folder.replace(FILE_NAME, encodeRecord(view));
      } catch (failure) {
        // The view still becomes active: the committed state takes
        // precedence over the stored copy.
        this.logger.error('failed to store the view', {
          failure: String(failure),
        });
      }
      nextWrite.resolve();
    }
    this.writing = false;
  }
}
