/**
 * The level of the records and messages that a version understands. Level 2 covers jobs that wait for others,
 * descriptions in parts, completed tasks whose layout is stated in the record, and team assignments in several
 * records. Records and messages of a level are written or sent only once every node understands it, because an older
 * node would drop what it cannot read.
 */
export const PROTOCOL_VERSION = 2;
/**
 * Level that adds jobs with match expressions; announced only by nodes that serve them, which their operators decide.
 */
export const MATCH_PROTOCOL_VERSION = 3;
