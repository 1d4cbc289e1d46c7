// Typed kinds of error. A message names what is wrong and then the remedy; the kind is what
// programs look at.
import ModernError from 'modern-errors';

export const TansypostError = ModernError.subclass('TansypostError');
export const BadFrame = TansypostError.subclass('BadFrameError');
export const BadBoot = TansypostError.subclass('BadBootError');
export const BadDesiredState = TansypostError.subclass('BadDesiredStateError');
export const DamagedFile = TansypostError.subclass('DamagedFileError');
export const BadSchedule = TansypostError.subclass('BadScheduleError');
export const FailedDisk = TansypostError.subclass('FailedDiskError');
