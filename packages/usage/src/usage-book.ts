/**
 * What has been told of the windows that are open: the highest counts by router, process and tenant, also of processes
 * that are gone. Once the content of a window has been taken it never changes; what is told later is late.
 */
import type { UsageTable } from '@tansypost/inner-protocol';
import { createUsageContent, type UsageContent } from './usage-content.js';

type Counts = Map<string, number>;

/** One window. */
interface WindowBook {
  /** By router and process; undefined once only the content is kept. */
  tables: Map<string, Counts> | undefined;
  content: UsageContent | undefined;
  /** Requests told after the content was fixed. */
  late: number;
}

/** The open windows. */
export interface UsageBook {
  /** Takes in a process's table; the process's name holds that of its router. */
  readonly take: (process: string, table: UsageTable) => void;
  /** The content of a window; it is fixed from now on. */
  readonly content: (window: number) => UsageContent;
  /** Fixes a window and keeps nothing but its content. */
  readonly condense: (window: number) => void;
  readonly has: (window: number) => boolean;
  /** The windows of which anything is known, in order. */
  readonly windows: () => readonly number[];
  /** Drops all windows before this one. */
  readonly dropBefore: (window: number) => void;
  /** Drops the oldest windows until there are so many. */
  readonly keepAtMost: (windows: number) => void;
  /** Drops the windows whose content is not fixed. */
  readonly dropUnfixed: () => void;
}

type Books = Map<number, WindowBook>;
type Late = (window: number, count: number) => void;

/** An empty book. `late` is told of requests that are in no report, when their window is dropped. */
export function createUsageBook(late: Late): UsageBook {
  const books: Books = new Map();
  return {
    take: (process, table) => takeTable(bookOf(books, table.window), process, table),
    content: (window) => fix(bookOf(books, window), window),
    condense: (window) => condense(bookOf(books, window), window),
    has: (window) => books.has(window),
    windows: () => sorted(books),
    dropBefore: (end) => sorted(books).forEach((window) => window < end && drop(books, window, late)),
    keepAtMost: (most) => keepAtMost(books, most, late),
    dropUnfixed: () => dropUnfixed(books),
  };
}

function bookOf(books: Books, window: number): WindowBook {
  const book = books.get(window) ?? { tables: new Map<string, Counts>(), content: undefined, late: 0 };
  books.set(window, book);
  return book;
}

function fix(book: WindowBook, window: number): UsageContent {
  book.content ??= createUsageContent(window, sumOf(book));
  return book.content;
}

function condense(book: WindowBook, window: number): void {
  fix(book, window);
  book.tables = undefined;
}

function drop(books: Books, window: number, late: Late): void {
  const count = books.get(window)!.late;
  books.delete(window);
  if (count > 0) late(window, count);
}

function keepAtMost(books: Books, most: number, late: Late): void {
  const excess = Math.max(0, books.size - most);
  for (const window of sorted(books).slice(0, excess)) {
    const book = books.get(window)!;
    book.late += total(fix(book, window));
    drop(books, window, late);
  }
}

function dropUnfixed(books: Books): void {
  for (const [window, book] of books) if (book.content === undefined) books.delete(window);
}

function sorted(books: ReadonlyMap<number, WindowBook>): number[] {
  return [...books.keys()].sort((a, b) => a - b);
}

function total(content: UsageContent): number {
  return Object.values(content.counts).reduce((sum, count) => sum + count, 0);
}

/** Counts only rise, so a repeat or an older table changes nothing. */
function takeTable(book: WindowBook, process: string, table: UsageTable): void {
  if (book.tables === undefined) return;
  const counts: Counts = book.tables.get(process) ?? new Map<string, number>();
  book.tables.set(process, counts);
  for (const { tenant, count } of table.counts) {
    const known = counts.get(tenant) ?? 0;
    if (count <= known) continue;
    counts.set(tenant, count);
    if (book.content !== undefined) book.late += count - known;
  }
}

function sumOf(book: WindowBook): Counts {
  const sum: Counts = new Map();
  for (const counts of book.tables?.values() ?? [])
    for (const [tenant, count] of counts) sum.set(tenant, (sum.get(tenant) ?? 0) + count);
  return sum;
}
