#include "jy_router/operations/timeline/Timeline.h"

#include <string_view>

namespace jy {

namespace {

constexpr std::string_view pageStart = R"html(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>jacinthyoke timeline</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
.lane { position: relative; height: 22px; border-bottom: 1px solid #ccc; margin-left: 12em; }
.lane .name { position: absolute; left: -12em; width: 11.5em; overflow: hidden; }
.lane .mark { position: absolute; top: 4px; width: 5px; height: 14px; margin-left: -2px; }
.lane .mark:hover { outline: 2px solid #000; }
.missing { color: #b00; }
table { border-collapse: collapse; margin-top: 1em; width: 100%; }
td { border-top: 1px solid #ddd; padding: 2px 8px 2px 0; vertical-align: top; }
td.time { white-space: nowrap; font-family: monospace; }
tr.chosen { background: #ffd; }
</style>
</head>
<body>
<h1>jacinthyoke timeline</h1>
<p><label>Filter <input id="filter" size="40" placeholder="text in kind, process or fields"></label>
<span id="count"></span></p>
<div id="lanes"></div>
<table><tbody id="rows"></tbody></table>
<script type="application/json" id="data">)html";

constexpr std::string_view pageEnd = R"html(</script>
<script>
"use strict";
const data = JSON.parse(document.getElementById("data").textContent);
const element = (name, className, text) => {
  const result = document.createElement(name);
  result.className = className;
  if (text !== undefined) result.textContent = text;
  return result;
};
const fieldText = (event) =>
  Object.entries(event.fields).map(([name, value]) => name + "=" + value).join(" ");
const searchText = (event) =>
  (event.kind + " " + event.process + " " + fieldText(event)).toLowerCase();
const color = (kind) => {
  let hash = 0;
  for (const c of kind) hash = (hash * 31 + c.codePointAt(0)) % 360;
  return "hsl(" + hash + ", 70%, 45%)";
};
const addLane = (lanes, process) => {
  const lane = element("div", "lane");
  const missing = process.error || (process.lost ? process.lost + " older events lost" : "");
  const name = element("span", missing ? "name missing" : "name", process.process);
  name.title = missing;
  lane.append(name);
  lanes.append(lane);
  return lane;
};
const draw = () => {
  const wanted = document.getElementById("filter").value.toLowerCase();
  const events = data.events.filter((event) => searchText(event).includes(wanted));
  document.getElementById("count").textContent =
    events.length + " of " + data.events.length + " events";
  const lanes = document.getElementById("lanes");
  const rows = document.getElementById("rows");
  lanes.replaceChildren();
  rows.replaceChildren();
  const byName = new Map(data.processes.map((p) => [p.process, addLane(lanes, p)]));
  const first = events.length ? events[0].wall_ms : 0;
  const span = Math.max(1, events.length ? events[events.length - 1].wall_ms - first : 1);
  for (const event of events) {
    const row = element("tr", "");
    row.append(element("td", "time", event.time + "+" + event.counter),
               element("td", "", event.process), element("td", "", event.kind),
               element("td", "", fieldText(event)));
    rows.append(row);
    if (!byName.has(event.process))
      byName.set(event.process, addLane(lanes, {process: event.process}));
    const mark = element("span", "mark");
    mark.style.left = ((event.wall_ms - first) / span) * 100 + "%";
    mark.style.background = color(event.kind);
    mark.title = event.time + " " + event.kind + " " + fieldText(event);
    mark.onclick = () => {
      document.querySelectorAll("tr.chosen").forEach((other) => other.classList.remove("chosen"));
      row.classList.add("chosen");
      row.scrollIntoView({block: "center"});
    };
    byName.get(event.process).append(mark);
  }
};
document.getElementById("filter").oninput = draw;
draw();
</script>
</body>
</html>
)html";

/** Keeps a value such as "</script>" from ending the data element. */
std::string withoutMarkup(const std::string &json)
{
    std::string result;
    result.reserve(json.size());
    for (const char c : json) {
        if (c == '<')
            result += "\\u003c";
        else
            result += c;
    }
    return result;
}

} // namespace

std::string timelineHtml(const Timeline &timeline)
{
    std::string page(pageStart);
    page += withoutMarkup(timelineJson(timeline));
    page += pageEnd;
    return page;
}

} // namespace jy
