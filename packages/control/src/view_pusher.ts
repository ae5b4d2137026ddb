import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, VirtualMachine} from '@apricotlock/topology';
import {PUSH_VIEW} from './control_messages.js';
import {ViewHistory} from './view_history.js';

const PUSH_TIMEOUT_MILLISECONDS = 500;
const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 800;

/** What the tasks that push views share. */
export interface PushContext {
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly view: Observable<ClusterView>;
  readonly history: ViewHistory;
  /** The VM at which the tree begins. */
  readonly root: () => string;
  /** A VM takes no views any more, or takes them again. */
  readonly reachable: (name: string, reachable: boolean) => void;
}

/** The task that brings new views to one other VM, the newest one only. */
export class ViewPusher {
  private knownIndex: number;
  private stopped = false;

  private constructor(
    readonly machine: VirtualMachine,
    private readonly context: PushContext,
  ) {
    // A VM without the views before this one asks for them itself.
    this.knownIndex = context.history.previousIndex;
  }

  /** Starts the task; what is newer than the view before the newest goes out. */
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
    let pause = FIRST_PAUSE_MILLISECONDS;
    while (!this.stopped) {
      await view.until(({index}) => index > this.knownIndex || this.stopped);
      if (this.stopped) return;
      if (await this.push()) {
        pause = FIRST_PAUSE_MILLISECONDS;
        continue;
      }
      await timer.sleep(pause);
      pause = Math.min(pause * 2, LONGEST_PAUSE_MILLISECONDS);
    }
  }

  private async push(): Promise<boolean> {
    const {network, history, root} = this.context;
    const answer = await network.call(
      this.machine.peerAddress,
      PUSH_VIEW,
      {root: root(), update: history.updateFrom(this.knownIndex)},
      PUSH_TIMEOUT_MILLISECONDS,
    );
    if (this.stopped) return false;
    answer.ifRight(({index}) => {
      this.knownIndex = index;
    });
    this.context.reachable(this.machine.name, answer.isRight());
    return answer.isRight();
  }
}
