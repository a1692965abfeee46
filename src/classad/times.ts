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
const MOST = 8_640_000_000_000n;

function dateOf(seconds: bigint): Date {
  const bounded = seconds > MOST ? MOST : seconds < -MOST ? -MOST : seconds;
  return new Date(Number(bounded) * 1000);
}

function yearDay(d: Date): number {
  return Math.floor((d.getTime() - Date.UTC(d.getUTCFullYear(), 0, 1)) / 86_400_000);
}

/** A moment in its parts, in UTC. */
export function splitTime(seconds: bigint): Ad {
  const d = dateOf(seconds);
  return new Ad()
    .setValue('Type', 'AbsoluteTime')
    .setValue('Year', BigInt(d.getUTCFullYear()))
    .setValue('Month', BigInt(d.getUTCMonth() + 1))
    .setValue('Day', BigInt(d.getUTCDate()))
    .setValue('Hours', BigInt(d.getUTCHours()))
    .setValue('Minutes', BigInt(d.getUTCMinutes()))
    .setValue('Seconds', BigInt(d.getUTCSeconds()))
    .setValue('Offset', 0n);
}

/** A moment in UTC as `strftime` writes it; what it does not know stays as it is. */
export function formatTime(seconds: bigint, form: string): string {
  const d = dateOf(seconds);
  const two = (n: number) => String(n).padStart(2, '0');
  const day = DAYS[d.getUTCDay()]!;
  const month = MONTHS[d.getUTCMonth()]!;
  const hour = d.getUTCHours();
  const clock = `${two(hour)}:${two(d.getUTCMinutes())}:${two(d.getUTCSeconds())}`;
  const parts: Record<string, string> = {
    a: day.slice(0, 3),
    A: day,
    b: month.slice(0, 3),
    B: month,
    c: `${day.slice(0, 3)} ${month.slice(0, 3)} ${String(d.getUTCDate()).padStart(2)} ${clock} ${d.getUTCFullYear()}`,
    d: two(d.getUTCDate()),
    H: two(hour),
    I: two(hour % 12 || 12),
    j: String(yearDay(d) + 1).padStart(3, '0'),
    m: two(d.getUTCMonth() + 1),
    M: two(d.getUTCMinutes()),
    p: hour < 12 ? 'AM' : 'PM',
    S: two(d.getUTCSeconds()),
    T: clock,
    F: `${d.getUTCFullYear()}-${two(d.getUTCMonth() + 1)}-${two(d.getUTCDate())}`,
    w: String(d.getUTCDay()),
    x: `${two(d.getUTCMonth() + 1)}/${two(d.getUTCDate())}/${two(d.getUTCFullYear() % 100)}`,
    X: clock,
    y: two(d.getUTCFullYear() % 100),
    Y: String(d.getUTCFullYear()),
    Z: 'UTC',
    '%': '%',
  };
  return form.replace(/%([A-Za-z%])/g, (whole, c: string) => parts[c] ?? whole);
}
