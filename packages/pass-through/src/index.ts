export * from './course.js';
export type { CourseOptions, CoursePorts } from './course-context.js';
export * from './decision.js';
export * from './events.js';
export * from './incoming.js';
export * from './ports.js';
export * from './send-budget.js';
export * from './assign-pair.js';
export * from './worker-fleet.js';
