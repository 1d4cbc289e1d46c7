/** Error classes. A message states what is wrong and then the remedy; programs distinguish errors by class. */
import ModernError from 'modern-errors';

/** Base class of all errors below. */
export const TansypostError = ModernError.subclass('TansypostError');
/** Bytes on a link between processes that aren't a valid frame, hello or message. */
export const BadFrameError = TansypostError.subclass('BadFrameError');
/** Settings with which a program can't start. */
export const BadSettingsError = TansypostError.subclass('BadBootError');
/** A configuration that violates a rule. */
export const BadDesiredStateError = TansypostError.subclass('BadDesiredStateError');
/** A data file in which valid records follow a corrupt one, so that it isn't just cut off at its end. */
export const DamagedFileError = TansypostError.subclass('DamagedFileError');
/** A fault schedule that can't be parsed. */
export const BadScheduleError = TansypostError.subclass('BadScheduleError');
/** A write that the disk failed. */
export const FailedDiskError = TansypostError.subclass('FailedDiskError');
/** A membership record that this release can't decode. */
export const UnreadableMembershipError = TansypostError.subclass('UnreadableMembershipError');
/** A log or a report of a run that can't be evaluated. */
export const UnusableReportError = TansypostError.subclass('UnusableReportError');
