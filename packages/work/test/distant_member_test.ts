import {expect} from 'chai';
import {Logger} from '@apricotlock/logging';
import {createChannelPair} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {
  MemberWorker,
  TransactionStart,
  WorkClientMessage,
  WorkRequest,
  WorkServerMessage,
} from '../src/index.js';
import {FakeMemberConnector} from './fake_member.js';
import {RemoteMember} from './remote_member.js';

const SLOTS = 2;
const OBJECTIVE_MILLISECONDS = 200;
const ROUND_TRIP_MILLISECONDS = 8;
/** 9 ms in the mean, so that two slots can do 222 statements a second. */
const WORK_MILLISECONDS = [3, 18, 7, 5, 12, 9];
/** One in so many reads opens a transaction. */
const TRANSACTION_INTERVAL = 8;
/** Time for the last reads to end. */
const SETTLE_MILLISECONDS = 1_000;

/** What became of the reads of one replay. */
interface ReplayResult {
  readonly reads: number;
  readonly onTime: number;
  readonly refused: number;
}

/** One VM that runs all reads of a group on its primary. */
class ReadsOnOneMember {
  readonly timer = ManualTimerService.create();
  readonly member: RemoteMember;
  private readonly worker: MemberWorker;

  constructor(queueLength: number) {
    this.member = new RemoteMember(this.timer, {
      slots: SLOTS,
      queueLength,
      roundTripMilliseconds: ROUND_TRIP_MILLISECONDS,
      workMilliseconds: WORK_MILLISECONDS,
    });
    this.worker = MemberWorker.create({
      target: {database: 'ledger', name: 'm1', host: '127.0.0.1', port: 1},
      slots: SLOTS,
      connections: {maximum: 18, warm: SLOTS + 1, byOrganisation: false},
      connector: new FakeMemberConnector(command =>
        this.member.answer(command),
      ),
      timer: this.timer,
      logger: Logger.silent(),
      observer: {
        onConnectionEvent: () => undefined,
        onRefusal: () => undefined,
      },
      mayUse: () => true,
      acceptsNewWork: () => true,
      onBegun: () => undefined,
      onSymptom: () => undefined,
      onAnswer: () => undefined,
    });
  }

  /** Starts reads at even intervals, and waits until the last has ended. */
  async play(readsPerSecond: number, seconds: number): Promise<ReplayResult> {
    const result = {reads: 0, onTime: 0, refused: 0};
    const interval = 1_000 / readsPerSecond;
    const startedAt = this.timer.now();
    while (result.reads < readsPerSecond * seconds) {
      const dueAt = startedAt + result.reads * interval;
      await this.timer.advanceAsync(dueAt - this.timer.now());
      void this.read(result.reads, result);
      result.reads += 1;
    }
    await this.timer.advanceAsync(SETTLE_MILLISECONDS);
    return result;
  }

  private async read(
    index: number,
    result: {onTime: number; refused: number},
  ): Promise<void> {
    const startedAt = this.timer.now();
    const {client, server} = createChannelPair<
      WorkClientMessage,
      WorkServerMessage
    >();
    const isTransaction = index % TRANSACTION_INTERVAL === 0;
    const opens = isTransaction ? 'readOnlyTransaction' : 'none';
    void this.worker.serve(readRequest(opens), server);
    const message = await client.receive();
    client.send({kind: 'release'});
    const milliseconds = this.timer.now() - startedAt;
    if (message?.kind === 'refused') result.refused += 1;
    else if (milliseconds <= OBJECTIVE_MILLISECONDS) result.onTime += 1;
  }
}

function readRequest(opens: TransactionStart): WorkRequest {
  return {
    database: 'ledger',
    member: 'm1',
    primaryTerm: 0,
    priority: 2,
    waitMilliseconds: OBJECTIVE_MILLISECONDS,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    first: {
      kind: 'run',
      requestId: 'r1',
      text: {kind: 'plain', text: 'READ a'},
      opens,
      floor: undefined,
      values: [],
      timeoutMilliseconds: 800,
      repeatable: true,
    },
  };
}

describe('reads that only one member can serve', () => {
  // Guards against a member whose slots are idle while messages are under way:
  // with 8 ms on the way and 9 ms of work, its VM refused reads for which it
  // had room.
  it('are all served in time at three quarters of what it can do', async () => {
    const reads = new ReadsOnOneMember(16);
    await reads.play(50, 2);
    const result = await reads.play(165, 6);
    expect(result.refused).to.equal(0);
    expect(result.onTime).to.equal(result.reads);
  });

  it('wait at the member for one round trip at most', async () => {
    const reads = new ReadsOnOneMember(16);
    await reads.play(400, 6);
    expect(reads.member.peak).to.be.at.most(2 * SLOTS);
  });

  // Guards against a member that refuses what is beyond its slots again and
  // again.
  it('are rarely sent beyond its slots to a member without a queue', async () => {
    const reads = new ReadsOnOneMember(0);
    await reads.play(100, 6);
    expect(reads.member.shed).to.be.at.most(12);
  });
});
