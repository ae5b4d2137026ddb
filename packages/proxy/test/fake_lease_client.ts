import {Either, Right} from 'purify-ts';
import {
  LeaseClient,
  GroupPosition,
  LeaseConversation,
  LeaseOwnerMessage,
  LeaseRequest,
  LeaseClientMessage,
} from '@apricotlock/backend';
import {createChannelPair, PeerChannel} from '@apricotlock/peer';
import {CatalogueEntry, ClusterView, Member} from '@apricotlock/topology';

/** Returns the answer of a fake owner to a run; the last message ends it. */
export type FakeOwner = (
  request: LeaseRequest,
  run: Extract<LeaseClientMessage, {kind: 'run'}>,
) => readonly LeaseOwnerMessage[] | Promise<readonly LeaseOwnerMessage[]>;

/** A lease client whose leases are served by a function of the test. */
export class FakeLeaseClient extends LeaseClient {
  /** Requests for leases, in their order. */
  readonly requests: LeaseRequest[] = [];
  /** Messages sent to the owners, in their order. */
  readonly sentMessages: LeaseClientMessage[] = [];
  groupPosition: GroupPosition = {term: 1, position: 100n};

  constructor(private readonly owner: FakeOwner) {
    super();
  }

  override lease(request: LeaseRequest): LeaseConversation {
    this.requests.push(request);
    const pair = createChannelPair<LeaseClientMessage, LeaseOwnerMessage>();
    void this.serve(request, pair.server);
    return pair.client;
  }

  override async position(): Promise<Either<'unavailable', GroupPosition>> {
    return Right(this.groupPosition);
  }

  private async serve(
    request: LeaseRequest,
    channel: PeerChannel<LeaseOwnerMessage, LeaseClientMessage>,
  ): Promise<void> {
    let message: LeaseClientMessage | undefined = request.first;
    while (message !== undefined) {
      this.sentMessages.push(message);
      if (message.kind === 'release') break;
      if (message.kind === 'run') {
        const answers = await this.owner(request, message);
        answers.forEach(answer => channel.send(answer));
      }
      message = await channel.receive();
    }
    channel.end();
  }
}

/** Returns the end of an answer at position 100 of term 1. */
export function finished(
  answer: Buffer,
  overrides: Partial<Extract<LeaseOwnerMessage, {kind: 'finished'}>> = {},
): LeaseOwnerMessage {
  return {
    kind: 'finished',
    answer,
    status: 'idle',
    term: 1,
    position: 100n,
    confirmed: true,
    ...overrides,
  };
}

export const ENTRY: CatalogueEntry = {
  name: 'holds',
  owner: 'bonanno',
  class: 'critical',
  database: 'holds',
  members: 3,
  limits: {
    connections: 4,
    slots: 2,
    queueLength: 10,
    queueMilliseconds: 500,
  },
};

/** A cluster view with the primary `a` and the replicas `b` and `c`. */
export const VIEW: ClusterView = {
  index: 1,
  catalogue: {version: 1, entries: [ENTRY]},
  groups: [
    {
      database: 'holds',
      size: 3,
      term: 1,
      primary: 'a',
      members: [
        member('a', 'catania'),
        member('b', 'palermo'),
        member('c', 'messina'),
      ],
    },
  ],
};

function member(name: string, dataCentre: string): Member {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    database: 'holds',
    dataCentre,
    address,
    apiAddress: address,
    incarnation: 1,
    state: 'active',
  };
}
