import {ManualTimerService} from '@apricotlock/timer';
import {QueueRequester, WorkQueue} from '../src/index.js';

const NEVER = new Promise<never>(() => undefined);

/** A member with slots and connections, as seen by the queue. */
export class QueuedMember {
  readonly timer = ManualTimerService.create();
  readonly started: string[] = [];
  free: number;
  requestedConnections = 0;
  readonly queue: WorkQueue<number>;

  constructor(slots: number, connections: number) {
    this.free = connections;
    this.queue = WorkQueue.create<number>({
      slots,
      timer: this.timer,
      takeConnection: () => (this.free > 0 ? this.free-- : undefined),
      requestConnections: demands => {
        this.requestedConnections = demands[0]?.waiting ?? 0;
      },
    });
  }

  submit(
    name: string,
    priority: number,
    wait: number,
    objective = wait,
    requester: QueueRequester = {},
  ) {
    const request = {
      ...requester,
      priority,
      waitMilliseconds: wait,
      objectiveMilliseconds: objective,
    };
    const outcome = this.queue.acquireSlotAndConnection(request, NEVER);
    void outcome.then(admission => {
      if (admission.isRight()) this.started.push(name);
    });
    return outcome;
  }

  async finish(held: number): Promise<void> {
    this.free += 1;
    this.queue.releaseSlot(held);
    await settle();
  }
}

/** Lets pending tasks run. */
export async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}
