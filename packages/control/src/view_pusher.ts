import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, VirtualMachine} from '@apricotlock/topology';
import {PUSH_VIEW} from './control_messages.js';
import {ViewHistory} from './view_history.js';

const PUSH_TIMEOUT_MILLISECONDS = 500;
const MINIMUM_RETRY_DELAY_MILLISECONDS = 50;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;

/** Dependencies shared by the tasks that push views. */
export interface PushContext {
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly view: Observable<ClusterView>;
  readonly history: ViewHistory;
  /** The VM at the root of the distribution tree. */
  readonly root: () => string;
  /** Called after each push with whether the VM answered. */
  readonly reportReachability: (name: string, reachable: boolean) => void;
}

/**
 * Pushes the newest view to one other VM; intermediate views may be skipped.
 */
export class ViewPusher {
  private knownIndex: number;
  /** Whether the VM understands packed updates. */
  private acceptsPacked = true;
  private stopped = false;

  private constructor(
    readonly machine: VirtualMachine,
    private readonly context: PushContext,
  ) {
    // A VM that lacks the views before the newest one fetches them itself.
    this.knownIndex = context.history.previousIndex;
  }

  /**
   * Starts the task. Views that are newer than the second newest one are pushed
   * at once.
   */
  static start(machine: VirtualMachine, context: PushContext): ViewPusher {
    const pusher = new ViewPusher(machine, context);
    void pusher.run();
    return pusher;
  }

  /** Ends the task. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    const {view, timer} = this.context;
    let retryDelayMilliseconds = MINIMUM_RETRY_DELAY_MILLISECONDS;
    while (!this.stopped) {
      await view.waitUntil(
        ({index}) => index > this.knownIndex || this.stopped,
      );
      if (this.stopped) return;
      if (await this.push()) {
        retryDelayMilliseconds = MINIMUM_RETRY_DELAY_MILLISECONDS;
        continue;
      }
      await timer.sleep(retryDelayMilliseconds);
      retryDelayMilliseconds = Math.min(
        retryDelayMilliseconds * 2,
        MAXIMUM_RETRY_DELAY_MILLISECONDS,
      );
    }
  }

  private async push(): Promise<boolean> {
    const {network, history, root} = this.context;
    const update = this.acceptsPacked
      ? history.packedUpdateFrom(this.knownIndex)
      : history.updateFrom(this.knownIndex);
    const answer = await network.call(
      this.machine.peerAddress,
      PUSH_VIEW,
      {root: root(), update},
      PUSH_TIMEOUT_MILLISECONDS,
    );
    if (this.stopped) return false;
    answer.ifLeft(({kind}) => {
      // A VM of an earlier version refuses the message as malformed.
      if (kind === 'refused') this.acceptsPacked = false;
    });
    answer.ifRight(({index}) => {
      this.knownIndex = index;
    });
    this.context.reportReachability(this.machine.name, answer.isRight());
    return answer.isRight();
  }
}
