import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {
  QueueRefusal,
  WorkQueue,
  WorkRequest,
  WorkServerMessage,
} from '@apricotlock/work';
import {
  completed,
  ReplayedGroup,
  READ_TERMS,
} from './support/replayed_group.js';

const SLOTS = 5;
const WORK_MILLISECONDS = 24;
const NETWORK_MILLISECONDS = 2;
const NEVER = new Promise<never>(() => undefined);

/** A period of the replay: arrivals at the whole fleet, and what fails. */
interface Phase {
  readonly seconds: number;
  readonly readsPerSecond: number;
  /** A member that no VM can reach. */
  readonly cut?: string;
  /** Share of the VMs that serve callers. */
  readonly servingShare?: number;
}

/** What became of the reads of one phase. */
interface Result {
  readonly reads: number;
  readonly onTime: number;
  readonly requests: number;
}

/**
 * The members of a group, each with slots and a queue, and the VMs before it.
 */
class Fleet {
  private readonly timer = ManualTimerService.create();
  private readonly machines: readonly ReplayedGroup[];
  private readonly queues = new Map<string, WorkQueue<object>>();
  private phase: Phase = {seconds: 0, readsPerSecond: 0};
  private requests = 0;

  constructor(machineCount: number) {
    for (const member of ['primary', 'first', 'second']) {
      const queue = WorkQueue.create<object>({
        slots: SLOTS,
        timer: this.timer,
        takeConnection: () => ({}),
        requestConnections: () => undefined,
      });
      this.queues.set(member, queue);
    }
    this.machines = Array.from(
      {length: machineCount},
      (_, index) =>
        new ReplayedGroup(
          READ_TERMS,
          request => this.dispatch(request),
          this.timer,
          `vm-${index}`,
        ),
    );
  }

  async play(phase: Phase): Promise<Result> {
    this.phase = phase;
    this.requests = 0;
    const result = {reads: 0, onTime: 0};
    const serving = Math.ceil(this.machines.length * (phase.servingShare ?? 1));
    let due = 0;
    for (let elapsed = 0; elapsed < phase.seconds * 1_000; elapsed++) {
      for (due += phase.readsPerSecond / 1_000; due >= 1; due--) {
        const machine = this.machines[result.reads % serving] as ReplayedGroup;
        result.reads += 1;
        void this.read(machine, result);
      }
      await this.timer.advanceAsync(1);
      await setImmediate();
    }
    return {...result, requests: this.requests};
  }

  private async read(
    machine: ReplayedGroup,
    result: {onTime: number},
  ): Promise<void> {
    const startedAt = this.timer.now();
    const {kind} = await machine.start();
    const milliseconds = this.timer.now() - startedAt;
    if (kind === 'answered' && milliseconds <= 400) result.onTime += 1;
  }

  private dispatch(request: WorkRequest): Promise<WorkServerMessage> {
    const {member} = request;
    this.requests += 1;
    if (member !== this.phase.cut) return this.work(request);
    return this.answer(refusal('unreachable', 200));
  }

  private async work(request: WorkRequest): Promise<WorkServerMessage> {
    const queue = this.queues.get(request.member) as WorkQueue<object>;
    const admission = await queue.acquireSlotAndConnection(request, NEVER);
    if (admission.isLeft()) {
      const {expectedWaitMilliseconds} = admission.extract() as QueueRefusal;
      return this.answer(refusal('overloaded', expectedWaitMilliseconds));
    }
    await this.timer.sleep(WORK_MILLISECONDS);
    queue.releaseSlot(WORK_MILLISECONDS);
    const expectedWaitMilliseconds = queue.expectedWaitOf();
    return this.answer({...completed(), expectedWaitMilliseconds} as never);
  }

  private async answer(message: WorkServerMessage): Promise<WorkServerMessage> {
    await this.timer.sleep(NETWORK_MILLISECONDS);
    return message;
  }
}

function refusal(
  reason: 'overloaded' | 'unreachable',
  retryAfterMilliseconds: number,
): WorkServerMessage {
  return {kind: 'refused', refusal: {reason, retryAfterMilliseconds}};
}

/** The group can do 625 reads in a second. */
const CALM: Phase = {seconds: 3, readsPerSecond: 300};
const BURST: Phase = {seconds: 4, readsPerSecond: 1_000};

for (const machineCount of [24, 118]) {
  describe(`a fleet of ${machineCount} VMs under load`, () => {
    let fleet: Fleet;

    /** Some reads have no answer yet when their phase ends. */
    async function expectCalm(changes: Partial<Phase> = {}): Promise<Result> {
      const result = await fleet.play({...CALM, ...changes});
      expect(result.onTime).to.be.at.least(result.reads * 0.96);
      return result;
    }

    beforeEach(async () => {
      fleet = new Fleet(machineCount);
      await expectCalm();
    });

    it('sends each read once on a calm day', async () => {
      const {reads, requests} = await fleet.play(CALM);
      expect(requests).to.be.at.most(reads * 1.01);
    });

    // Guards against an overload that outlasts its cause by ten seconds,
    // because each refused read asks all members repeatedly.
    it('answers what it can in a burst, and all reads a second later', async () => {
      const {reads, onTime, requests} = await fleet.play(BURST);
      const capacity = (BURST.seconds * 1_000 * SLOTS * 3) / WORK_MILLISECONDS;
      expect(onTime).to.be.at.least((capacity * 2) / 3);
      expect(requests).to.be.at.most(reads * 2);
      await fleet.play({...CALM, seconds: 1});
      await expectCalm();
    });

    it('answers reads while a replica is cut off, and once VMs are killed', async () => {
      const {reads, requests} = await expectCalm({cut: 'first'});
      // Each VM tries the replica at 0, 0.4, 1.2 and 2.8 s; without avoidance,
      // half of all reads would try it.
      expect(requests).to.be.at.most(reads + 4 * machineCount);
      await expectCalm({servingShare: 0.45});
    });
  });
}
