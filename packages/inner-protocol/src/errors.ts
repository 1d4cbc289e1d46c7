/** Typed kinds of error. A message names what is wrong and then the remedy; the kind is what programs look at. */
import ModernError from 'modern-errors';

/** The kind of all errors below. */
export const TansypostError = ModernError.subclass('TansypostError');
/** Bytes on an inner link that are no frame, hello or message. */
export const BadFrame = TansypostError.subclass('BadFrameError');
/** Settings that a program can't start with. */
export const BadBoot = TansypostError.subclass('BadBootError');
/** A configuration that breaks a rule. */
export const BadDesiredState = TansypostError.subclass('BadDesiredStateError');
/** A data file with a bad record that whole ones follow. */
export const DamagedFile = TansypostError.subclass('DamagedFileError');
/** A schedule of faults that can't be read. */
export const BadSchedule = TansypostError.subclass('BadScheduleError');
/** A disk that failed a write. */
export const FailedDisk = TansypostError.subclass('FailedDiskError');
/** A membership record that this release cannot read. */
export const UnreadableMembership = TansypostError.subclass('UnreadableMembershipError');
/** A log or a report of a run that cannot be used. */
export const UnusableReport = TansypostError.subclass('UnusableReportError');
