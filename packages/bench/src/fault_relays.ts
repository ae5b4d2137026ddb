import {Socket} from 'node:net';
import {FaultPlan, FaultRelay, findSocketOwner} from '@apricotlock/faults';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {Layout} from './layout.js';
import {ProcessGroup} from './process_group.js';

const RELAY_PORT_OFFSET = 50;
const UNKNOWN_SOURCE = 'unknown process';

/** Returns the address on which the relay of a target address listens. */
export function relayAddress({host, port}: Address): Address {
  return {host, port: port + RELAY_PORT_OFFSET};
}

/**
 * Relays in front of the database and API ports of all members of a layout.
 * They carry the traffic between members and between entry VMs and members.
 */
export class FaultRelays {
  readonly plan = FaultPlan.create();
  private relays: ReadonlyMap<string, readonly FaultRelay[]> = new Map();

  private constructor(
    private readonly processes: ProcessGroup,
    private readonly timer: TimerService,
  ) {}

  /** Starts the relays for all members of a layout. */
  static async start(
    layout: Layout,
    processes: ProcessGroup,
    timer: TimerService,
  ): Promise<FaultRelays> {
    const faultRelays = new FaultRelays(processes, timer);
    for (const {name, address, apiAddress} of layout.members) {
      await faultRelays.startRelays(name, [address, apiAddress]);
    }
    return faultRelays;
  }

  /**
   * Silences all open connections to a process permanently, in both directions,
   * without closing them. New connections work.
   */
  silenceConnectionsTo(name: string): void {
    for (const relay of this.relays.get(name) ?? []) relay.silenceConnections();
  }

  /** Closes all relays. */
  async close(): Promise<void> {
    const all = [...this.relays.values()].flat();
    await Promise.all(all.map(relay => relay.close()));
  }

  private async startRelays(
    targetName: string,
    targets: readonly Address[],
  ): Promise<void> {
    const {plan, timer} = this;
    const started = targets.map(target =>
      FaultRelay.start({
        listen: relayAddress(target),
        target,
        targetName,
        plan,
        timer,
        sourceOf: socket => this.sourceOf(socket),
      }),
    );
    const relays = await Promise.all(started);
    this.relays = new Map(this.relays).set(targetName, relays);
  }

  private sourceOf(socket: Socket): string {
    const {namesByProcessId} = this.processes;
    return findSocketOwner(socket, namesByProcessId) ?? UNKNOWN_SOURCE;
  }
}
