/** Failure detection, roles, server announcements, drain. */
export {};
