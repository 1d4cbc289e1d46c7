/** Typed kinds of error. A message names what is wrong and then the remedy; the kind is what programs look at. */
import ModernError from 'modern-errors';

/** The kind of all errors below. */
export const TansypostError = ModernError.subclass('TansypostError');
/** Bytes on an inner link that are no frame, hello or message. */
export const BadFrameError = TansypostError.subclass('BadFrameError');
/** Settings that a program can't start with. */
export const BadSettingsError = TansypostError.subclass('BadBootError');
/** A configuration that breaks a rule. */
export const BadDesiredStateError = TansypostError.subclass('BadDesiredStateError');
/** A data file with a bad record that whole ones follow. */
export const DamagedFileError = TansypostError.subclass('DamagedFileError');
/** A schedule of faults that can't be read. */
export const BadScheduleError = TansypostError.subclass('BadScheduleError');
/** A disk that failed a write. */
export const FailedDiskError = TansypostError.subclass('FailedDiskError');
/** A membership record that this release cannot read. */
export const UnreadableMembershipError = TansypostError.subclass('UnreadableMembershipError');
/** A log or a report of a run that cannot be used. */
export const UnusableReportError = TansypostError.subclass('UnusableReportError');
