/** The Ohm grammar of the scenario language. */

export const SCENARIO_GRAMMAR = String.raw`
Scenario {
  Scenario = Step+

  Step
    = "start" "node" name "in" name                          -- startNode
    | "start" "server" name "of" group "beside" name
      "slots" int "work" duration                            -- startServer
    | "start" "load" int "per" "second" "of" Orders          -- startLoad
    | "stop" "load"                                          -- stopLoad
    | "send" int "calls" "of" Orders                         -- send
    | nodeAction "node" name                                 -- nodeAction
    | serverAction "server" name                             -- serverAction
    | "set" "server" name identifier value                   -- setServer
    | "set" "log" identifier value                           -- setLog
    | "trim" "log" name "before" int                         -- trimLog
    | "run" text "expecting" "exit" int                      -- run
    | "sleep" duration                                       -- sleep
    | "wait" "for" Condition "within" duration               -- wait
    | "expect" subject comparison int                        -- expect

  Condition
    = "version" int "everywhere"                             -- version
    | int "ready" "servers" "everywhere"                     -- servers
    | int "nodes" "everywhere"                               -- nodes

  Orders = NonemptyListOf<Order, ",">

  Order = method path orderFlag*

  method = ("GET" | "POST" | "PUT" | "DELETE") ~alnum
  path = "/" (~space ~"," any)*
  orderFlag = "once" | "keyed" | "poisoned" | "retried"

  nodeAction = ("kill" | "stop" | "pause" | "resume" | "restart") ~alnum
  serverAction
    = ("crash" | "restart" | "silence" | "drain") ~alnum

  subject
    = ("answered-without-run" | "answered" | "not-run" | "unknown"
    | "mismatched" | "repeated" | "falsely-not-run" | "steps-back"
    | "config-records" | "cancelled-runs" | "p99-ms") ~alnum
  comparison = "is" | "at least" | "at most"

  value = duration | int | word
  duration = digit+ ("ms" | "s") ~alnum
  int = "-"? digit+ ~alnum
  word = letter (alnum | "-")*
  identifier = letter alnum*
  name = alnum (alnum | "-" | "_")*
  group = name "/" name
  text = "\"" (~"\"" any)* "\""

  comment = "#" (~"\n" any)*
  space += comment
}
`;
