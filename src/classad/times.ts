import { Ad } from './ast.js';

const DAYS = ['Sunday', 'Monday', 'Tuesday', 'Wednesday', 'Thursday', 'Friday', 'Saturday'];
const MONTHS = [
  'January',
  'February',
  'March',
  'April',
  'May',
  'June',
  'July',
  'August',
  'September',
  'October',
  'November',
  'December',
];
const MAX_DATE_SECONDS = 8_640_000_000_000n;

function dateOf(seconds: bigint): Date {
  const bounded =
    seconds > MAX_DATE_SECONDS ? MAX_DATE_SECONDS : seconds < -MAX_DATE_SECONDS ? -MAX_DATE_SECONDS : seconds;
  return new Date(Number(bounded) * 1000);
}

function daysSinceNewYear(date: Date): number {
  return Math.floor((date.getTime() - Date.UTC(date.getUTCFullYear(), 0, 1)) / 86_400_000);
}

/** Splits a time, in UTC, into its components. */
export function splitTime(seconds: bigint): Ad {
  const date = dateOf(seconds);
  return new Ad()
    .setValue('Type', 'AbsoluteTime')
    .setValue('Year', BigInt(date.getUTCFullYear()))
    .setValue('Month', BigInt(date.getUTCMonth() + 1))
    .setValue('Day', BigInt(date.getUTCDate()))
    .setValue('Hours', BigInt(date.getUTCHours()))
    .setValue('Minutes', BigInt(date.getUTCMinutes()))
    .setValue('Seconds', BigInt(date.getUTCSeconds()))
    .setValue('Offset', 0n);
}

/** Formats a time in UTC like `strftime`; unknown conversion specifiers are left unchanged. */
export function formatTime(seconds: bigint, format: string): string {
  const date = dateOf(seconds);
  const twoDigits = (n: number) => String(n).padStart(2, '0');
  const day = DAYS[date.getUTCDay()]!;
  const month = MONTHS[date.getUTCMonth()]!;
  const hour = date.getUTCHours();
  const clock = `${twoDigits(hour)}:${twoDigits(date.getUTCMinutes())}:${twoDigits(date.getUTCSeconds())}`;
  const conversions: Record<string, string> = {
    a: day.slice(0, 3),
    A: day,
    b: month.slice(0, 3),
    B: month,
    c: `${day.slice(0, 3)} ${month.slice(0, 3)} ${String(date.getUTCDate()).padStart(2)} ${clock} ${date.getUTCFullYear()}`,
    d: twoDigits(date.getUTCDate()),
    H: twoDigits(hour),
    I: twoDigits(hour % 12 || 12),
    j: String(daysSinceNewYear(date) + 1).padStart(3, '0'),
    m: twoDigits(date.getUTCMonth() + 1),
    M: twoDigits(date.getUTCMinutes()),
    p: hour < 12 ? 'AM' : 'PM',
    S: twoDigits(date.getUTCSeconds()),
    T: clock,
    F: `${date.getUTCFullYear()}-${twoDigits(date.getUTCMonth() + 1)}-${twoDigits(date.getUTCDate())}`,
    w: String(date.getUTCDay()),
    x: `${twoDigits(date.getUTCMonth() + 1)}/${twoDigits(date.getUTCDate())}/${twoDigits(date.getUTCFullYear() % 100)}`,
    X: clock,
    y: twoDigits(date.getUTCFullYear() % 100),
    Y: String(date.getUTCFullYear()),
    Z: 'UTC',
    '%': '%',
  };
  return format.replace(/%([A-Za-z%])/g, (specifier, c: string) => conversions[c] ?? specifier);
}
