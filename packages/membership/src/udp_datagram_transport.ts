import {createSocket, Socket} from 'node:dgram';
import {lookup} from 'node:dns';
import {isIP, isIPv6} from 'node:net';
import {Address} from '@apricotlock/topology';
import {DatagramHandler, DatagramTransport} from './datagram_transport.js';

/** Sends and receives datagrams over UDP. */
export class UdpDatagramTransport extends DatagramTransport {
  private isClosed = false;

  private constructor(private readonly socket: Socket) {
    super();
    // A failed send counts as a lost datagram; probes detect the consequences.
    socket.on('error', () => undefined);
  }

  /** Binds to `listen`. Throws if the address cannot be bound. */
  static async start(listen: Address): Promise<UdpDatagramTransport> {
    const isVersion6 = isIPv6(listen.host);
    const socket = createSocket({
      type: isVersion6 ? 'udp6' : 'udp4',
      // Addresses of VMs are numeric, and need no resolver for each datagram.
      lookup: (host, options, callback) =>
        isIP(host) === 0
          ? lookup(host, options, callback)
          : callback(null, host, isVersion6 ? 6 : 4),
    });
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(listen.port, listen.host, () => {
        socket.off('error', reject);
        resolve();
      });
    });
    return new UdpDatagramTransport(socket);
  }

  override send(to: Address, bytes: Buffer): void {
    if (!this.isClosed) this.socket.send(bytes, to.port, to.host, ignoreResult);
  }

  override receive(handler: DatagramHandler): void {
    this.socket.on('message', (bytes, remote) =>
      handler({host: remote.address, port: remote.port}, bytes),
    );
  }

  override async close(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    await new Promise<void>(resolve => this.socket.close(() => resolve()));
  }
}

function ignoreResult(): void {
  // Delivery is not guaranteed, so send errors are ignored.
}
