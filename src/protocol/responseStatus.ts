/**
 * Which statuses a response may end with. Others are no answer in HTTP: nothing that comes with them is believed, so the
 * request may have run.
 */

const minimumStatus = 200;
const maximumStatus = 599;

export const isFinalStatus = (status: number): boolean => status >= minimumStatus && status <= maximumStatus;
