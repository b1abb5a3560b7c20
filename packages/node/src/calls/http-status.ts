/** True for a status code that HTTP defines (RFC 9110, 15). */
export function isHttpStatus(status: number): boolean {
  return Number.isInteger(status) && status >= 100 && status <= 599;
}
