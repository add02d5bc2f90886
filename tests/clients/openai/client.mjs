// Lists models, chats, streams, meets errors and runs a batch with the OpenAI client as it is published.
// Environment: CALLER_URL (…/v1), CALLER_KEY, MODEL. The exit code is 0 only if all was right.
import assert from 'node:assert/strict';
import OpenAI, { toFile } from 'openai';

const model = process.env.MODEL;
const client = new OpenAI({ baseURL: process.env.CALLER_URL, apiKey: process.env.CALLER_KEY, maxRetries: 0, timeout: 30000 });
const BATCH_DEADLINE_MS = 90000;
const BATCH_POLL_MS = 200;

const question = (content) => ({ model, messages: [{ role: 'user', content }] });

async function listsModels() {
  const names = [];
  for await (const entry of client.models.list()) names.push(entry.id);
  assert.ok(names.includes(model), `expected ${model} among ${names}`);
}

async function chats() {
  const completion = await client.chat.completions.create(question('how many drums are left'));
  assert.equal(completion.choices[0].message.content, 'echo:how many drums are left');
  assert.equal(completion.choices[0].finish_reason, 'stop');
  assert.equal(completion.usage.completion_tokens, 5);
}

async function streams() {
  const stream = await client.chat.completions.create({
    ...question('stream these words'),
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = '';
  let usage = null;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta?.content ?? '';
    usage = chunk.usage ?? usage;
  }
  assert.equal(text, 'echo:stream these words');
  assert.equal(usage.completion_tokens, 3);
}

async function meetsErrors() {
  const stranger = new OpenAI({ baseURL: process.env.CALLER_URL, apiKey: 'wrong', maxRetries: 0 });
  await assert.rejects(stranger.models.list(), OpenAI.AuthenticationError);
  await assert.rejects(client.chat.completions.create({ ...question('hello'), model: 'unknown' }), OpenAI.NotFoundError);
}

const item = (id, content) =>
  JSON.stringify({ custom_id: id, method: 'POST', url: '/v1/chat/completions', body: question(content) });

async function endOfBatch(id) {
  const deadline = Date.now() + BATCH_DEADLINE_MS;
  for (;;) {
    const batch = await client.batches.retrieve(id);
    if (['completed', 'failed', 'expired', 'cancelled'].includes(batch.status)) return batch;
    assert.ok(Date.now() < deadline, `the batch did not end in time: ${batch.status}`);
    await new Promise((resolve) => setTimeout(resolve, BATCH_POLL_MS));
  }
}

async function linesOf(file) {
  const text = await (await client.files.content(file)).text();
  return text.split('\n').filter(Boolean).map((line) => JSON.parse(line));
}

async function runsABatch() {
  const lines = [item('a', 'visit one'), item('b', 'visit two'), item('c', 'the plan that cannot be made')];
  const file = await client.files.create({ file: await toFile(Buffer.from(lines.join('\n') + '\n'), 'plans.jsonl'), purpose: 'batch' });
  const created = await client.batches.create({
    input_file_id: file.id,
    endpoint: '/v1/chat/completions',
    completion_window: '24h',
  });
  const batch = await endOfBatch(created.id);
  assert.equal(batch.status, 'completed');
  assert.deepEqual({ ...batch.request_counts }, { total: 3, completed: 2, failed: 1 });
  const answers = await linesOf(batch.output_file_id);
  const content = Object.fromEntries(answers.map((line) => [line.custom_id, line.response.body.choices[0].message.content]));
  assert.deepEqual(content, { a: 'echo:visit one', b: 'echo:visit two' });
  assert.deepEqual((await linesOf(batch.error_file_id)).map((line) => line.custom_id), ['c']);
  const ids = [];
  for await (const entry of client.batches.list()) ids.push(entry.id);
  assert.ok(ids.includes(created.id));
}

async function cancelsABatch() {
  const lines = Array.from({ length: 50 }, (_, index) => item(`i-${index}`, `advice ${index}`));
  const file = await client.files.create({ file: await toFile(Buffer.from(lines.join('\n') + '\n'), 'advice.jsonl'), purpose: 'batch' });
  const created = await client.batches.create({
    input_file_id: file.id,
    endpoint: '/v1/chat/completions',
    completion_window: '24h',
  });
  const cancelled = await client.batches.cancel(created.id).catch((error) => error);
  assert.ok(['cancelling', 'cancelled'].includes(cancelled.status) || cancelled.status === 409, `found ${cancelled.status}`);
  const batch = await endOfBatch(created.id);
  assert.ok(['cancelled', 'completed'].includes(batch.status), `found ${batch.status}`);
}

for (const check of [listsModels, chats, streams, meetsErrors, runsABatch, cancelsABatch]) {
  await check();
  console.log(`passed: ${check.name}`);
}
