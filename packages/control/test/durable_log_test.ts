import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {
  DurableLog,
  EMPTY_CONTROL_STATE,
  LogEntry,
  RandomSource,
  StorageError,
} from '../src/index.js';
import {MemoryFolder} from './support/memory_folder.js';

const SEEDS = [1, 2, 3, 4, 5];
const LOG_NAME = 'log-00000001';

function entry(index: number, term: number): LogEntry {
  return {index, term, body: {kind: 'termStart'}};
}

async function open(folder: MemoryFolder, failed = () => undefined) {
  const slow = () => undefined;
  const timer = ManualTimerService.create();
  return DurableLog.open(folder, () => 'disk', {timer, failed, slow});
}

async function reopen(folder: MemoryFolder): Promise<DurableLog> {
  return (await open(folder)).unsafeCoerce();
}

/** What was promised to others before the power went. */
interface Promised {
  readonly term: number;
  readonly vote: string | undefined;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Votes, appends, overwrites and compacts until done or without power. */
async function work(folder: MemoryFolder): Promise<Promised> {
  let promised: Promised = {
    term: 0,
    vote: undefined,
    lastIndex: 0,
    lastTerm: 0,
  };
  const crash = new Promise<'crashed'>(resolve => {
    const failed = () => resolve('crashed');
    void open(folder, failed as () => undefined).then(async opened => {
      if (opened.isLeft()) return failed();
      const log = opened.unsafeCoerce();
      for (const step of STEPS) {
        step(log);
        await log.flushed();
        const {term, vote} = log.vote;
        const {index, term: lastTerm} = log.last;
        promised = {term, vote, lastIndex: index, lastTerm};
      }
      return failed();
    });
  });
  await crash;
  return promised;
}

const STEPS: ReadonlyArray<(log: DurableLog) => void> = [
  log => log.saveVote({cluster: 'c', term: 1, vote: 'disk'}),
  log => log.append([entry(1, 1), entry(2, 1), entry(3, 1)]),
  log => log.saveVote({term: 2, vote: 'other'}),
  log => log.append([entry(3, 2)]),
  log => log.compact({index: 2, term: 1}, EMPTY_CONTROL_STATE),
  log => log.append([entry(4, 2), entry(5, 2)]),
  log => {
    log.append([entry(5, 2)]);
    log.compact({index: 5, term: 2}, EMPTY_CONTROL_STATE);
    log.saveVote({term: 3, vote: undefined});
    log.append([entry(6, 3)]);
  },
];

describe('DurableLog', () => {
  describe('a loss of power', () => {
    it('loses nothing promised, at any write and with any torn tail', async () => {
      const whole = MemoryFolder.create();
      await work(whole);
      for (const seed of SEEDS) {
        for (let at = 1; at <= whole.operations; at++) {
          const folder = MemoryFolder.create();
          folder.crashAt = at;
          const promised = await work(folder);
          const survived = folder.afterCrash(RandomSource.of(seed * 1000 + at));
          const log = await reopen(survived);
          const where = `seed ${seed}, operation ${at}`;
          expect(log.vote.term, where).to.be.at.least(promised.term);
          if (log.vote.term === promised.term && promised.vote !== undefined) {
            expect(log.vote.vote, where).to.equal(promised.vote);
          }
          if (log.last.term === promised.lastTerm) {
            expect(log.last.index, where).to.be.at.least(promised.lastIndex);
          } else {
            expect(log.last.term, where).to.be.above(promised.lastTerm);
          }
        }
      }
    });

    it('leaves a log that takes more', async () => {
      const folder = MemoryFolder.create();
      folder.crashAt = 9;
      await work(folder);
      const survived = folder.afterCrash(RandomSource.of(7));
      const log = await reopen(survived);
      const next = log.last.index + 1;
      log.append([entry(next, 9)]);
      await log.flushed();
      expect((await reopen(survived)).last).to.include({index: next, term: 9});
    });
  });

  describe('a damaged file', () => {
    async function written(): Promise<MemoryFolder> {
      const folder = MemoryFolder.create();
      const log = await reopen(folder);
      for (let index = 1; index <= 5; index++) {
        log.append([entry(index, 1)]);
        await log.flushed();
      }
      return folder;
    }

    it('is cut where its last record is torn', async () => {
      const folder = await written();
      folder.damage(LOG_NAME, folder.sizeOf(LOG_NAME) - 1);
      expect((await reopen(folder)).last.index).to.equal(4);
    });

    it('is refused by name where its middle is damaged', async () => {
      const size = (await written()).sizeOf(LOG_NAME);
      // The last record may be torn: only what is before it is the middle.
      for (let offset = 0; offset < (size * 4) / 5; offset++) {
        const folder = await written();
        folder.damage(LOG_NAME, offset);
        const error = (await open(folder)).swap().unsafeCoerce();
        expect((error as StorageError).kind, `byte ${offset}`).to.equal(
          'corrupt',
        );
        expect(error.file).to.equal(`/memory/${LOG_NAME}`);
      }
    });
  });

  describe('many entries', () => {
    it('are forgotten behind a snapshot, and the newest kept', async () => {
      const folder = MemoryFolder.create();
      const log = await reopen(folder);
      for (let index = 1; index <= 1_000; index++) {
        log.append([entry(index, 1)]);
      }
      log.compact({index: 900, term: 1}, EMPTY_CONTROL_STATE);
      await log.flushed();
      expect(await folder.list()).to.deep.equal(['log-00000002']);
      const read = await reopen(folder);
      expect(read.snapshot.index).to.equal(900);
      expect(read.last.index).to.equal(1_000);
      expect(read.entriesFrom(700, 1)).to.equal(undefined);
      expect(read.entriesFrom(701, 1)?.[0]?.index).to.equal(701);
    });
  });

  describe('large entries', () => {
    const DOCUMENT_BYTES = 100 << 10;
    const MOST_BYTES = 3 << 20;

    function large(index: number): LogEntry {
      const command = {
        kind: 'replaceCatalogue',
        version: index,
        entries: [],
        document: 'x'.repeat(DOCUMENT_BYTES),
        at: 0,
      } as const;
      return {index, term: 1, body: {kind: 'command', command}};
    }

    it('ask for a snapshot long before they are many', async () => {
      const folder = MemoryFolder.create();
      const log = await reopen(folder);
      let snapshots = 0;
      for (let index = 1; index <= 200; index++) {
        log.append([large(index)]);
        await log.flushed();
        if (!log.isLong) continue;
        snapshots += 1;
        log.compact({index, term: 1}, EMPTY_CONTROL_STATE);
        await log.flushed();
      }
      expect(snapshots).to.be.within(5, 25);
      const [name] = await folder.list();
      expect(folder.sizeOf(name as string)).to.be.below(MOST_BYTES);
      const read = await reopen(folder);
      expect(read.last.index).to.equal(200);
      expect(read.isLong).to.equal(false);
    });

    it('are counted when the log is read again', async () => {
      const folder = MemoryFolder.create();
      const log = await reopen(folder);
      for (let index = 1; index <= 15; index++) log.append([large(index)]);
      await log.flushed();
      expect((await reopen(folder)).isLong).to.equal(true);
    });
  });
});
