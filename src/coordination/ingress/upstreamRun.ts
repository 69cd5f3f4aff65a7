/**
 * One run of an upstream, from its start to its end. What an entry learns from a run doesn't hold for the next one, which
 * may have the same id.
 */
import type { Upstream } from "../../state/ingressTypes.js";

export type UpstreamRun = Pick<Upstream, "id" | "bornAt">;

export const keyOfRun = ({ id, bornAt }: UpstreamRun): string => `${id} ${bornAt}`;
