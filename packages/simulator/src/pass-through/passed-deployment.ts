/**
 * The two deployments as their virtual fleets are built: where the machines stand, what is asked for and how often.
 * Times are whole microseconds. The streams have smaller pieces than on the users' machines, so that more of them can
 * break; a second, small service beside the main one takes part of a path whenever the document says so.
 */

export interface PassedKind {
  readonly name: string;
  readonly rate: number;
  readonly shared: number;
  readonly own: number;
  readonly answer: number;
  readonly aim: number;
  readonly pause: number;
  readonly budget: number;
  readonly rank: number;
  readonly streaming: boolean;
  readonly resumable: boolean;
  readonly repeatable: boolean;
  readonly sends: number;
  readonly furtherTries: number;
}
export interface PassedDeployment {
  readonly name: string;
  readonly zones: readonly string[];
  readonly routers: number;
  readonly workers: number;
  readonly asideWorkers: number;
  readonly kvTokens: number;
  readonly kinds: readonly PassedKind[];
  readonly sendSlack: number;
}
export const mainService = 'main';
export const asideService = 'aside';

function kinds(long: string, middle: string, small: string, rate: number): PassedKind[] {
  const stream = { streaming: true, repeatable: false, pause: 300_000, aim: 800_000, budget: 8_000_000 };
  return [
    {
      ...stream,
      name: long,
      rate: 0.18 * rate,
      shared: 5382,
      own: 6610,
      answer: 32,
      rank: 0,
      resumable: true,
      sends: 3,
      furtherTries: 1,
    },
    {
      ...stream,
      name: middle,
      rate: 0.32 * rate,
      shared: 198,
      own: 628,
      answer: 24,
      rank: 1,
      resumable: false,
      sends: 2,
      furtherTries: 1,
    },
    {
      ...stream,
      name: small,
      rate: 0.28 * rate,
      shared: 568,
      own: 1800,
      answer: 2,
      rank: 2,
      resumable: false,
      sends: 1,
      furtherTries: 1,
      aim: 1_500_000,
      budget: 2_500_000,
    },
    // Beside what the sheets ask for: answers that are no streams, one that may be repeated and one that may not.
    {
      ...stream,
      name: 'look-up',
      rate: 0.11 * rate,
      shared: 198,
      own: 200,
      answer: 8,
      rank: 2,
      streaming: false,
      resumable: false,
      repeatable: true,
      pause: 0,
      sends: 3,
      furtherTries: 2,
    },
    {
      ...stream,
      name: 'booking',
      rate: 0.11 * rate,
      shared: 198,
      own: 200,
      answer: 8,
      rank: 0,
      streaming: false,
      resumable: false,
      pause: 0,
      sends: 2,
      furtherTries: 2,
    },
  ];
}

export const passedDeployments: { readonly [k: string]: PassedDeployment } = {
  ferry: {
    name: 'ferry',
    zones: ['puerto-montt', 'chacabuco', 'quellon', 'natales'],
    routers: 9,
    workers: 13,
    asideWorkers: 2,
    kvTokens: 410_894,
    kinds: kinds('manifest-review', 'fare-answer', 'seat-flag', 40),
    sendSlack: 58,
  },
  'cold-storage': {
    name: 'cold-storage',
    zones: ['pkl-west', 'shah-alam', 'pulau-indah'],
    routers: 7,
    workers: 6,
    asideWorkers: 2,
    kvTokens: 403_008,
    kinds: kinds('spoilage-claim', 'bay-query', 'alarm-triage', 25),
    sendSlack: 54,
  },
};
