import {TimerService} from '@apricotlock/timer';
import {Address, formatAddress} from '@apricotlock/topology';
import {DatagramHandler, DatagramTransport} from './datagram_transport.js';

/** Returns whether a datagram from one address reaches another. */
export type DatagramFilter = (from: Address, to: Address) => boolean;

/** An in-process datagram network for tests and measurements. */
export class MemoryDatagramNetwork {
  /** The number of payload bytes that all transports have sent. */
  sentBytes = 0;
  /** The number of datagrams that all transports have sent. */
  sentDatagrams = 0;
  private filter: DatagramFilter = () => true;
  private readonly handlers = new Map<string, DatagramHandler>();

  private constructor(
    private readonly timer: TimerService,
    private readonly delayMilliseconds: number,
  ) {}

  /** Creates a network that delivers datagrams after `delayMilliseconds`. */
  static create(
    timer: TimerService,
    delayMilliseconds: number,
  ): MemoryDatagramNetwork {
    return new MemoryDatagramNetwork(timer, delayMilliseconds);
  }

  /** Drops all later datagrams for which `filter` returns `false`. */
  deliverOnly(filter: DatagramFilter): void {
    this.filter = filter;
  }

  /** Creates the transport of the process at `address`. */
  createTransport(address: Address): DatagramTransport {
    return new MemoryDatagramTransport(this, address);
  }

  /** Sets or removes the handler of datagrams to `address`. @internal */
  setHandler(address: Address, handler: DatagramHandler | undefined): void {
    const key = formatAddress(address);
    if (handler === undefined) this.handlers.delete(key);
    else this.handlers.set(key, handler);
  }

  /** Delivers a datagram unless the filter drops it. @internal */
  transmit(from: Address, to: Address, bytes: Buffer): void {
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
    this.network.transmit(this.address, to, bytes);
  }

  override receive(handler: DatagramHandler): void {
    this.network.setHandler(this.address, handler);
  }

  override async close(): Promise<void> {
    this.network.setHandler(this.address, undefined);
  }
}
