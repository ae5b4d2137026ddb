import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {OwnershipClaims} from '../src/ownership_claims.js';
import {ClaimAnswer} from '../src/ownership_messages.js';
import {settle} from './fake_backend.js';

/** Answers each claim with `answer`. */
class FakeNetwork extends PeerNetwork {
  answer: Either<PeerError, ClaimAnswer> = Right({kind: 'free'});
  callCount = 0;

  override async call<Request, Answer>(
    _to: unknown,
    _call: PeerCall<Request, Answer>,
  ): Promise<Either<PeerError, Answer>> {
    this.callCount += 1;
    return this.answer as unknown as Either<PeerError, Answer>;
  }

  override converse(): never {
    throw new Error('not used');
  }

  override handle(): never {
    throw new Error('not used');
  }

  override handleConversation(): never {
    throw new Error('not used');
  }

  override async close(): Promise<void> {
    this.callCount = 0;
  }
}

describe('OwnershipClaims', () => {
  let timer: ManualTimerService;
  let network: FakeNetwork;
  let claims: OwnershipClaims;

  beforeEach(() => {
    timer = ManualTimerService.create();
    network = new FakeNetwork();
    claims = OwnershipClaims.create({
      claim: {member: 'holds-a', claimant: 'vm-1', dataCentre: 'catania'},
      network,
      timer,
      onChange: () => undefined,
    });
  });

  async function advanceTime(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 25) {
      await settle();
      timer.advance(25);
    }
    await settle();
  }

  it('waits until the other VM has answered', async () => {
    claims.update([machine('vm-2')]);
    expect(claims.heldByOthers).to.equal(undefined);
    await settle();
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('reports what the other VM holds until it holds nothing', async () => {
    const holding = {connections: 2, leases: {holds: 1}};
    network.answer = Right({kind: 'holding', holding});
    claims.update([machine('vm-2')]);
    await settle();
    expect(claims.heldByOthers).to.deep.equal([holding]);
    network.answer = Right({kind: 'free'});
    await advanceTime(25);
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('keeps waiting while the other VM keeps the member', async () => {
    network.answer = Right({kind: 'kept'});
    claims.update([machine('vm-2')]);
    await advanceTime(10_000);
    expect(claims.heldByOthers).to.equal(undefined);
  });

  it('treats a refused connection as free immediately', async () => {
    network.answer = Left({
      kind: 'notSent',
      reason: 'connect ECONNREFUSED 127.0.0.1:1',
    });
    claims.update([machine('vm-2')]);
    await settle();
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('waits until a silent VM can hold no connections', async () => {
    network.answer = Left({kind: 'noAnswer', reason: 'no answer in time'});
    claims.update([machine('vm-2')]);
    await advanceTime(3_000);
    expect(claims.heldByOthers).to.equal(undefined);
    await advanceTime(500);
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('claims again from a VM that returned or restarted', async () => {
    claims.update([machine('vm-2')]);
    await settle();
    claims.update([]);
    claims.update([machine('vm-2')]);
    expect(claims.heldByOthers).to.equal(undefined);
    await settle();
    claims.update([machine('vm-2', 2)]);
    expect(claims.heldByOthers).to.equal(undefined);
    await settle();
    expect(network.callCount).to.equal(3);
  });
});

function machine(name: string, incarnation = 1): VirtualMachine {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    incarnation,
    dataCentre: 'catania',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: false,
    state: 'serving',
  };
}
