/** Mechanisms that tests break on purpose, to show that each check can fail. */

export type Spoil =
  | 'unknown-called-refused'
  | 'cut-called-whole'
  | 'piece-dropped'
  | 'piece-doubled'
  | 'handles-mixed'
  | 'leaving-hidden'
  | 'news-withheld'
  | 'document-set-back'
  | 'invalid-let-through'
  | 'two-disks-lost'
  | 'budget-ignored'
  | 'core-stays-dead'
  | 'leaves-at-once'
  | 'credentials-passed-on'
  | 'tenants-mixed'
  | 'keys-unchecked'
  | 'dropped-keys-kept'
  | 'new-keys-ignored'
  | 'tenant-left-out';
