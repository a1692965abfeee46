/**
 * What a version understands of the others' records and messages. Level 2: jobs that wait for others, descriptions in
 * parts, done tasks whose layout the record states, assignments of teams in several records. Nothing of a level is written
 * or sent before every node understands it: an older one would drop what it cannot read.
 */
export const PROTOCOL_VERSION = 2;
/** Jobs with match expressions as well; said only by nodes that serve them, which is up to their operators. */
export const MATCH_PROTOCOL_VERSION = 3;
