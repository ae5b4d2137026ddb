import {Observable} from '@apricotlock/flow';
import {SecretRing} from '@apricotlock/peer';
import {Address} from '@apricotlock/topology';
import {
  Datagram,
  DatagramBody,
  MAXIMUM_DATAGRAM_BYTES,
  openDatagram,
  packedBytes,
  sealDatagram,
} from './datagram_codec.js';
import {DatagramTransport} from './datagram_transport.js';
import {MemberRecord, packRecord, unpackRecord} from './member_record.js';
import {ReplayWindow} from './replay_window.js';

/** Room for the tag, the sender, the body and the lengths of all parts. */
const ENVELOPE_BYTES = 320;
const RECORD_ROOM_BYTES = MAXIMUM_DATAGRAM_BYTES - ENVELOPE_BYTES;
/** Bounds what a probe costs when much changes at once. */
const RIDING_ROOM_BYTES = 400;
const MAXIMUM_SENDERS = 16_384;

/** A datagram that has been found authentic, new and well-formed. */
export interface ReceivedDatagram {
  readonly from: Address;
  readonly sender: string;
  readonly body: DatagramBody;
  readonly records: readonly MemberRecord[];
}

/** What a link needs. */
export interface DatagramLinkOptions {
  readonly name: string;
  readonly incarnation: number;
  readonly address: Address;
  readonly transport: DatagramTransport;
  readonly keys: Observable<SecretRing>;
}

/** Sends and takes authenticated datagrams, each at most once. */
export class DatagramLink {
  private sequence = 0;
  private incarnation: number;
  private readonly windows = new Map<string, ReplayWindow>();

  private constructor(private readonly options: DatagramLinkOptions) {
    this.incarnation = options.incarnation;
  }

  /** A link that hands what it receives to `handler`. */
  static start(
    options: DatagramLinkOptions,
    handler: (datagram: ReceivedDatagram) => void,
  ): DatagramLink {
    const link = new DatagramLink(options);
    options.transport.receive((from, bytes) => {
      const received = link.open(from, bytes);
      if (received !== undefined) handler(received);
    });
    return link;
  }

  /** Sends a body and as many of the records as one datagram holds. */
  send(
    to: Address,
    body: DatagramBody,
    records: readonly MemberRecord[] = [],
  ): void {
    const {name, transport, keys} = this.options;
    const {incarnation} = this;
    this.sequence += 1;
    const datagram: Datagram = {
      sender: name,
      incarnation,
      sequence: this.sequence,
      body,
      records: records.map(packRecord),
    };
    transport.send(to, sealDatagram(datagram, to, keys.current));
  }

  /** Sends as another start of this process from now on. */
  restart(incarnation: number): void {
    this.incarnation = incarnation;
    this.sequence = 0;
  }

  /** Forgets senders that are no members any more. */
  forget(names: readonly string[]): void {
    for (const name of names) this.windows.delete(name);
  }

  private open(from: Address, bytes: Buffer): ReceivedDatagram | undefined {
    const {address, keys} = this.options;
    const datagram = openDatagram(bytes, address, keys.current);
    if (datagram === undefined || !this.isNew(datagram)) return undefined;
    const {sender, body, records} = datagram;
    return {from, sender, body, records: records.map(unpackRecord)};
  }

  private isNew({sender, incarnation, sequence}: Datagram): boolean {
    const known = this.windows.get(sender);
    if (known !== undefined && known.incarnation >= incarnation) {
      return known.incarnation === incarnation && known.admit(sequence);
    }
    if (known === undefined && this.windows.size >= MAXIMUM_SENDERS) {
      return false;
    }
    const window = ReplayWindow.create(incarnation);
    this.windows.set(sender, window);
    return window.admit(sequence);
  }
}

/** Counts records until one datagram is full. */
export class RecordRoom {
  private constructor(private left: number) {}

  /** An empty datagram's room. */
  static whole(): RecordRoom {
    return new RecordRoom(RECORD_ROOM_BYTES);
  }

  /** The room for records that ride on a probe. */
  static riding(): RecordRoom {
    return new RecordRoom(RIDING_ROOM_BYTES);
  }

  /** Whether a record fits after those before it; if so it takes its room. */
  take(record: MemberRecord): boolean {
    const bytes = packedBytes(packRecord(record));
    if (bytes > this.left) return false;
    this.left -= bytes;
    return true;
  }
}

/** Splits records into lists that fit one datagram each. */
export function intoDatagrams(
  records: readonly MemberRecord[],
): ReadonlyArray<readonly MemberRecord[]> {
  const lists: MemberRecord[][] = [];
  let room: RecordRoom | undefined;
  for (const record of records) {
    if (room === undefined || !room.take(record)) {
      room = RecordRoom.whole();
      room.take(record);
      lists.push([]);
    }
    lists[lists.length - 1]?.push(record);
  }
  return lists;
}
