/** Semantic actions of the grammar, which convert matches into steps. */

/* eslint-disable @typescript-eslint/naming-convention -- Ohm requires
   actions to be named after the grammar's rules. */

import {grammar, type Node} from 'ohm-js';

import type {CallOrder} from '../caller/caller.js';
import {SCENARIO_GRAMMAR} from './scenario-grammar.js';
import type {
  Comparison,
  Condition,
  ExpectSubject,
  NodeAction,
  ScenarioOrder,
  ScenarioStep,
  ServerAction,
  StepAction,
  StepValue,
} from './scenario-step.js';
import {findPosition} from './text-position.js';

const MS_PER_SECOND = 1000;

/** The compiled grammar. */
export const GRAMMAR = grammar(SCENARIO_GRAMMAR);

/** Operations on matches; `steps()` converts a whole scenario. */
export const SEMANTICS = GRAMMAR.createSemantics();

function lineOf(node: Node): number {
  const {sourceString, startIdx} = node.source;
  return findPosition(sourceString, startIdx).line;
}

function valueOf<T>(node: Node): T {
  return node['value']() as T;
}

SEMANTICS.addOperation<unknown>('value()', {
  int(unusedSign, unusedDigits) {
    return Number(this.sourceString);
  },
  duration(digits, unit) {
    const count = Number(digits.sourceString);
    return unit.sourceString === 's' ? count * MS_PER_SECOND : count;
  },
  word(unusedFirst, unusedRest) {
    const {sourceString} = this;
    if (sourceString === 'true') return true;
    return sourceString === 'false' ? false : sourceString;
  },
  text(unusedOpen, content, unusedClose) {
    return content.sourceString;
  },
  Orders(list) {
    return list.asIteration().children.map(order => valueOf(order));
  },
  Order(method, path, flags): ScenarioOrder {
    const set = new Set(flags.children.map(flag => flag.sourceString));
    const call: CallOrder = {
      method: method.sourceString as CallOrder['method'],
      path: path.sourceString,
      once: set.has('once') || set.has('keyed'),
    };
    if (set.has('poisoned')) call.headers = {'x-poison': '1'};
    return {call, keyed: set.has('keyed'), retried: set.has('retried')};
  },
  Condition_version(unusedVersion, version, unusedEverywhere): Condition {
    return {kind: 'version', version: valueOf(version)};
  },
  Condition_servers(
    count,
    unusedReady,
    unusedServers,
    unusedEverywhere,
  ): Condition {
    return {kind: 'servers', count: valueOf(count)};
  },
  Condition_nodes(count, unusedNodes, unusedEverywhere): Condition {
    return {kind: 'nodes', count: valueOf(count)};
  },
});

SEMANTICS.addOperation<StepAction>('action()', {
  Step_startNode(unusedStart, unusedNode, nodeId, unusedIn, dataCentre) {
    return {
      kind: 'start-node',
      nodeId: nodeId.sourceString,
      dataCentre: dataCentre.sourceString,
    };
  },
  Step_startServer(
    unusedStart,
    unusedServer,
    name,
    unusedOf,
    group,
    unusedBeside,
    nodeId,
    unusedSlots,
    slots,
    unusedWork,
    work,
  ) {
    return {
      kind: 'start-server',
      name: name.sourceString,
      group: group.sourceString,
      nodeId: nodeId.sourceString,
      slots: valueOf(slots),
      workMs: valueOf(work),
    };
  },
  Step_startLoad(
    unusedStart,
    unusedLoad,
    rate,
    unusedPer,
    unusedSecond,
    unusedOf,
    orders,
  ) {
    const callsPerSecond = valueOf<number>(rate);
    return {kind: 'start-load', callsPerSecond, orders: valueOf(orders)};
  },
  Step_stopLoad(unusedStop, unusedLoad) {
    return {kind: 'stop-load'};
  },
  Step_send(unusedSend, calls, unusedCalls, unusedOf, orders) {
    return {kind: 'send', calls: valueOf(calls), orders: valueOf(orders)};
  },
  Step_nodeAction(action, unusedNode, nodeId) {
    return {
      kind: 'node-action',
      action: action.sourceString as NodeAction,
      nodeId: nodeId.sourceString,
    };
  },
  Step_serverAction(action, unusedServer, name) {
    return {
      kind: 'server-action',
      action: action.sourceString as ServerAction,
      name: name.sourceString,
    };
  },
  Step_setServer(unusedSet, unusedServer, name, property, value) {
    return {
      kind: 'set-server',
      name: name.sourceString,
      property: property.sourceString,
      value: valueOf<StepValue>(value),
    };
  },
  Step_setLog(unusedSet, unusedLog, property, value) {
    return {
      kind: 'set-log',
      property: property.sourceString,
      value: valueOf<StepValue>(value),
    };
  },
  Step_trimLog(unusedTrim, unusedLog, stream, unusedBefore, before) {
    return {
      kind: 'trim-log',
      stream: stream.sourceString,
      before: valueOf(before),
    };
  },
  Step_run(unusedRun, text, unusedExpecting, unusedExit, exit) {
    return {kind: 'run', commandLine: valueOf(text), exit: valueOf(exit)};
  },
  Step_sleep(unusedSleep, duration) {
    return {kind: 'sleep', ms: valueOf(duration)};
  },
  Step_wait(unusedWait, unusedFor, condition, unusedWithin, timeout) {
    const timeoutMs = valueOf<number>(timeout);
    return {kind: 'wait', condition: valueOf(condition), timeoutMs};
  },
  Step_expect(unusedExpect, subject, comparison, bound) {
    return {
      kind: 'expect',
      subject: subject.sourceString as ExpectSubject,
      comparison: comparison.sourceString as Comparison,
      bound: valueOf(bound),
    };
  },
});

SEMANTICS.addOperation<ScenarioStep[]>('steps()', {
  Scenario(steps) {
    return steps.children.map(step => ({
      line: lineOf(step),
      action: step['action']() as StepAction,
    }));
  },
});
