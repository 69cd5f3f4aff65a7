/**
 * Description of a running deployment: the script that starts the processes writes it, and the bench reads it.
 */
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { decodeJsonAs, describeDecodingError } from "../protocol/decoding.js";

const processFields = { host: z.string(), availabilityZone: z.string(), pid: z.int() };

const deploymentSchema = z.object({
    /** `ip:port` of the platform. */
    platform: z.string(),
    /** Name of the model that all groups serve. */
    model: z.string(),
    operatorToken: z.string(),
    peerToken: z.string(),
    clientAccounts: z.array(z.object({ name: z.string(), key: z.string() })).min(1),
    entries: z.array(z.object({ ...processFields, address: z.string(), control: z.string() })),
    agents: z.array(z.object({ ...processFields, address: z.string() })),
    /** One engine process per group, with one address per rank. */
    engines: z.array(z.object({
        group: z.string(),
        availabilityZone: z.string(),
        pid: z.int(),
        addresses: z.array(z.string()),
    })),
    services: z.array(z.object({
        service: z.string(),
        availabilityZone: z.string(),
        pid: z.int(),
        address: z.string(),
    })),
});

export type Deployment = z.infer<typeof deploymentSchema>;

/** Reads the description from `file`; the error names the file and the reason. */
export const readDeployment = async (file: string): Promise<Result<Deployment, string>> => {
    const text = await readFile(file, "utf8").catch(() => undefined);
    if (text === undefined) {
        return err(`deployment file "${file}" cannot be read`);
    }
    return decodeJsonAs(deploymentSchema, text)
        .andThen(deployment => ok(deployment))
        .mapErr(error => `deployment file "${file}": ${describeDecodingError(error)}`);
};
