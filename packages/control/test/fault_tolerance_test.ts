import {expect} from 'chai';
import {
  maximumVotersPerDataCentre,
  requiredVoterCount,
} from '../src/fault_tolerance.js';

describe('FaultTolerance', () => {
  it('needs two more voters for each disk that may be lost', () => {
    const counts = [0, 1, 2, 3, 4, 5].map(disks =>
      requiredVoterCount({disks, dataCentres: 0}),
    );
    expect(counts).to.deep.equal([3, 3, 5, 7, 9, 9]);
  });

  it('leaves a quorum after the loss of the tolerated data centres', () => {
    for (const disks of [1, 2, 3, 4]) {
      for (const dataCentres of [1, 2, 3, 4]) {
        const tolerance = {disks, dataCentres};
        const voters = requiredVoterCount(tolerance);
        const lost =
          dataCentres * maximumVotersPerDataCentre(voters, tolerance);
        expect(voters - lost).to.be.at.least(Math.floor(voters / 2) + 1);
      }
    }
  });
});
