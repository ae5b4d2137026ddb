import {Address} from '@apricotlock/topology';

const CALLER_PORT_OFFSET = 0;
const PEER_PORT_OFFSET = 100;
const OPERATOR_PORT_OFFSET = 200;
const MEMBER_PORT_OFFSET = 300;
const PORTS_PER_MEMBER = 3;

/** Names of the customers whose system sizes are available. */
export type ProfileName = 'bonanno' | 'kahurangi';

/** Sizes of the system of one customer, as its brief states them. */
export interface Profile {
  readonly name: ProfileName;
  readonly dataCentres: readonly string[];
  readonly databases: readonly string[];
  readonly entryMachines: number;
  readonly membersPerDatabase: number;
  readonly connections: number;
  readonly slots: number;
  readonly openingMilliseconds: number;
}

/** The profiles by customer name, as the briefs state them. */
export const PROFILES: Readonly<Record<ProfileName, Profile>> = {
  bonanno: {
    name: 'bonanno',
    dataCentres: ['catania', 'palermo', 'messina', 'siracusa'],
    databases: ['booking-ledger-1', 'booking-ledger-2', 'booking-ledger-3'],
    entryMachines: 6,
    membersPerDatabase: 3,
    connections: 16,
    slots: 2,
    openingMilliseconds: 10,
  },
  kahurangi: {
    name: 'kahurangi',
    dataCentres: ['akl-a', 'akl-b', 'akl-c'],
    databases: ['service-ledger-1', 'service-ledger-2', 'service-ledger-3'],
    entryMachines: 6,
    membersPerDatabase: 3,
    connections: 30,
    slots: 2,
    openingMilliseconds: 30,
  },
};

/** Name, location and addresses of an entry VM. */
export interface MachineLayout {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerAddress: Address;
  readonly peerAddress: Address;
  readonly operatorAddress: Address;
  /** Whether this is one of the initial voters; the other VMs are spares. */
  readonly controlVoter: boolean;
}

/** Name, location and addresses of a stand-in member. */
export interface MemberLayout {
  readonly name: string;
  readonly database: string;
  readonly dataCentre: string;
  readonly address: Address;
  readonly apiAddress: Address;
  readonly commandAddress: Address;
  readonly primary: boolean;
}

/** All processes of a system on the loopback interface. */
export interface Layout {
  readonly profile: Profile;
  readonly machines: readonly MachineLayout[];
  readonly members: readonly MemberLayout[];
}

/** Creates the layout of a profile, with ports from `basePort` upwards. */
export function createLayout(profile: Profile, basePort: number): Layout {
  return {
    profile,
    machines: machineLayouts(profile, basePort),
    members: memberLayouts(profile, basePort),
  };
}

function machineLayouts(
  profile: Profile,
  basePort: number,
): readonly MachineLayout[] {
  const voters = profile.entryMachines - 1 + (profile.entryMachines % 2);
  return Array.from({length: profile.entryMachines}, (_, index) => ({
    name: `vm-${index + 1}`,
    dataCentre: dataCentreOf(profile, index),
    callerAddress: loopback(basePort + CALLER_PORT_OFFSET + index),
    peerAddress: loopback(basePort + PEER_PORT_OFFSET + index),
    operatorAddress: loopback(basePort + OPERATOR_PORT_OFFSET + index),
    controlVoter: index < voters,
  }));
}

function memberLayouts(
  profile: Profile,
  basePort: number,
): readonly MemberLayout[] {
  return profile.databases.flatMap((database, databaseIndex) =>
    Array.from({length: profile.membersPerDatabase}, (_, index) => {
      const memberIndex = databaseIndex * profile.membersPerDatabase + index;
      const port =
        basePort + MEMBER_PORT_OFFSET + memberIndex * PORTS_PER_MEMBER;
      return {
        name: `${database}-${'abcdefghi'.charAt(index)}`,
        database,
        dataCentre: dataCentreOf(profile, databaseIndex + index),
        address: loopback(port),
        apiAddress: loopback(port + 1),
        commandAddress: loopback(port + 2),
        primary: index === 0,
      };
    }),
  );
}

function dataCentreOf(profile: Profile, index: number): string {
  return profile.dataCentres[index % profile.dataCentres.length] as string;
}

function loopback(port: number): Address {
  return {host: '127.0.0.1', port};
}
