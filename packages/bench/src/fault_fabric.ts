import {Socket} from 'node:net';
import {FaultPlan, FaultRelay, findSocketOwner} from '@apricotlock/faults';
import {TimerService} from '@apricotlock/timer';
import {Address} from '@apricotlock/topology';
import {Layout} from './layout.js';
import {ProcessGroup} from './process_group.js';

const RELAY_PORT_OFFSET = 50;
const UNKNOWN_SOURCE = 'a process that is gone';

/** Where the relay before a port listens. */
export function relayAddress({host, port}: Address): Address {
  return {host, port: port + RELAY_PORT_OFFSET};
}

/**
 * Relays before every port of the members of a layout: between members, and
 * between each member and each entry VM.
 */
export class FaultFabric {
  readonly plan = FaultPlan.create();
  private relays: ReadonlyMap<string, readonly FaultRelay[]> = new Map();

  private constructor(
    private readonly processes: ProcessGroup,
    private readonly timer: TimerService,
  ) {}

  /** Starts the relays of a layout. */
  static async start(
    layout: Layout,
    processes: ProcessGroup,
    timer: TimerService,
  ): Promise<FaultFabric> {
    const fabric = new FaultFabric(processes, timer);
    for (const {name, address, apiAddress} of layout.members) {
      await fabric.relay(name, [address, apiAddress]);
    }
    return fabric;
  }

  /** Makes what is connected to a process silent for good. */
  forgetConnectionsTo(name: string): void {
    for (const relay of this.relays.get(name) ?? []) relay.silenceConnections();
  }

  /** Ends all relays. */
  async close(): Promise<void> {
    const all = [...this.relays.values()].flat();
    await Promise.all(all.map(relay => relay.close()));
  }

  private async relay(
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
    const {byProcessId} = this.processes;
    return findSocketOwner(socket, byProcessId) ?? UNKNOWN_SOURCE;
  }
}
