import {createSocket, Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import {Address} from '@apricotlock/topology';
import {DatagramHandler, DatagramTransport} from './datagram_transport.js';

/** Datagrams over UDP. */
export class UdpDatagramTransport extends DatagramTransport {
  private closed = false;

  private constructor(private readonly socket: Socket) {
    super();
    // A datagram that could not be sent is a lost one; probes find that out.
    socket.on('error', () => undefined);
  }

  /** Binds to `listen`. Throws if the address can't be had. */
  static async start(listen: Address): Promise<UdpDatagramTransport> {
    const socket = createSocket(isIPv6(listen.host) ? 'udp6' : 'udp4');
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
    if (!this.closed) this.socket.send(bytes, to.port, to.host, noResult);
  }

  override receive(handler: DatagramHandler): void {
    this.socket.on('message', (bytes, remote) =>
      handler({host: remote.address, port: remote.port}, bytes),
    );
  }

  override async close(): Promise<void> {
    if (this.closed) return;
    this.closed = true;
    await new Promise<void>(resolve => this.socket.close(() => resolve()));
  }
}

function noResult(): void {
  // Delivery is not promised, so a failure to send needs no answer.
}
