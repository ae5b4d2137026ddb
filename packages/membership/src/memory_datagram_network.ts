import {TimerService} from '@apricotlock/timer';
import {Address, formatAddress} from '@apricotlock/topology';
import {DatagramHandler, DatagramTransport} from './datagram_transport.js';

/** Whether a datagram from one address reaches another. */
export type DatagramFilter = (from: Address, to: Address) => boolean;

/** Datagrams inside one process: for tests and measurements. */
export class MemoryDatagramNetwork {
  /** Payload bytes that all transports have sent. */
  sentBytes = 0;
  /** Datagrams that all transports have sent. */
  sentDatagrams = 0;
  private filter: DatagramFilter = () => true;
  private readonly handlers = new Map<string, DatagramHandler>();

  private constructor(
    private readonly timer: TimerService,
    private readonly delayMilliseconds: number,
  ) {}

  /** A network on which each datagram takes `delayMilliseconds`. */
  static create(
    timer: TimerService,
    delayMilliseconds: number,
  ): MemoryDatagramNetwork {
    return new MemoryDatagramNetwork(timer, delayMilliseconds);
  }

  /** From now on only datagrams for which `filter` holds arrive. */
  deliverOnly(filter: DatagramFilter): void {
    this.filter = filter;
  }

  /** The transport of the process at `address`. */
  transport(address: Address): DatagramTransport {
    return new MemoryDatagramTransport(this, address);
  }

  /** @internal */
  attach(address: Address, handler: DatagramHandler | undefined): void {
    const key = formatAddress(address);
    if (handler === undefined) this.handlers.delete(key);
    else this.handlers.set(key, handler);
  }

  /** @internal */
  carry(from: Address, to: Address, bytes: Buffer): void {
    this.sentBytes += bytes.length;
    this.sentDatagrams += 1;
    if (!this.filter(from, to)) return;
    this.timer.once(this.delayMilliseconds, () => {
      this.handlers.get(formatAddress(to))?.(from, bytes);
    });
  }
}

class MemoryDatagramTransport extends DatagramTransport {
  constructor(
    private readonly network: MemoryDatagramNetwork,
    private readonly address: Address,
  ) {
    super();
  }

  override send(to: Address, bytes: Buffer): void {
    this.network.carry(this.address, to, bytes);
  }

  override receive(handler: DatagramHandler): void {
    this.network.attach(this.address, handler);
  }

  override async close(): Promise<void> {
    this.network.attach(this.address, undefined);
  }
}
